// Detects connections on which nothing arrives any more although new ones work,
// for example after a middlebox has dropped their state. A connection without
// traffic is checked by a probe on a new connection; the requests in flight on
// a silent connection are failed or retried.

#ifndef APRICOTSTILE_UPSTREAM_CONNECTION_WATCH_HPP
#define APRICOTSTILE_UPSTREAM_CONNECTION_WATCH_HPP

#include <apricotstile/upstream/watch_action.hpp>
#include <apricotstile/upstream/watch_event.hpp>
#include <apricotstile/upstream/watch_policy.hpp>

#include <map>

namespace apricotstile::upstream {

struct watch_counters {
    std::uint64_t probes{0};
    std::uint64_t probes_failed{0};
    std::uint64_t silent_connections{0};
    /// Idle connections closed because another to the same address was
    /// silent.
    std::uint64_t idle_closed{0};
    std::uint64_t deadlines_lost{0};
};

struct connection_watch {
    watch_policy policy;
    std::map<connection_id, watched_connection> connections;
    watch_counters counters;
};

/// Applies one event. A request started on a connection that no longer exists
/// fails at once; other events on such connections are ignored.
[[nodiscard]] watch_actions
step(connection_watch& state, const watch_event& event, instant now);

/// Whether new requests may be sent on `connection`: it exists, isn't under
/// suspicion and was idle for less than `longest_idle`.
[[nodiscard]] bool
may_use(const connection_watch& state, connection_id connection, instant now);

/// When the next `watch_ticked` is due; `instant::max()` for never.
[[nodiscard]] instant next_wake_up(const connection_watch& state);

} // namespace apricotstile::upstream

#endif
