// What is to be done about connections and the work on them.

#ifndef APRICOTSTILE_UPSTREAM_WATCH_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_WATCH_ACTION_HPP

#include <apricotstile/upstream/watched_connection.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Open a new connection to `path` and ask for a sign of life on it.
struct open_probe {
    connection_id connection;
    path_id path;
};

/// Close it; nothing that still arrives on it counts.
struct close_connection {
    connection_id connection;
};

enum class settlement : std::uint8_t {
    /// Idempotent with time left: may be sent again on another connection.
    retry,
    /// It may have run.
    unknown
};

/// The work no longer waits on a connection.
struct settle_work {
    work_id work;
    upstream::settlement settlement{upstream::settlement::unknown};
};

using watch_action = std::variant<open_probe, close_connection, settle_work>;
using watch_actions = std::vector<watch_action>;

} // namespace apricotstile::upstream

#endif
