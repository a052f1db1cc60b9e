// Actions that the connection monitor asks its caller to carry out.

#ifndef APRICOTSTILE_UPSTREAM_CONNECTION_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_CONNECTION_ACTION_HPP

#include <apricotstile/upstream/monitored_connection.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Open a new connection to `address` and send a probe on it.
struct open_probe {
    connection_id connection;
    address_id address;
};

/// Close the connection; ignore anything that still arrives on it.
struct close_connection {
    connection_id connection;
};

enum class exchange_outcome : std::uint8_t {
    /// Idempotent and before its deadline: may be retried on another
    /// connection.
    retry,
    /// The request may have run.
    unknown
};

/// The request has failed on its connection.
struct fail_exchange {
    work_id work;
    upstream::exchange_outcome outcome{upstream::exchange_outcome::unknown};
};

using connection_action =
    std::variant<open_probe, close_connection, fail_exchange>;
using connection_actions = std::vector<connection_action>;

} // namespace apricotstile::upstream

#endif
