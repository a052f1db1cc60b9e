// Actions that the connection watch asks its caller to carry out.

#ifndef APRICOTSTILE_UPSTREAM_WATCH_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_WATCH_ACTION_HPP

#include <apricotstile/upstream/watched_connection.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Open a new connection to `path` and send a probe on it.
struct open_probe {
    connection_id connection;
    path_id path;
};

/// Close the connection; ignore anything that still arrives on it.
struct close_connection {
    connection_id connection;
};

enum class settlement : std::uint8_t {
    /// Idempotent and before its deadline: may be retried on another
    /// connection.
    retry,
    /// The request may have run.
    unknown
};

/// The request has failed on its connection.
struct settle_work {
    work_id work;
    upstream::settlement settlement{upstream::settlement::unknown};
};

using watch_action = std::variant<open_probe, close_connection, settle_work>;
using watch_actions = std::vector<watch_action>;

} // namespace apricotstile::upstream

#endif
