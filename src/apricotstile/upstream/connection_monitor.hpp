// Detects connections on which nothing arrives any more although new ones work,
// for example after a middlebox has dropped their state. A connection without
// traffic is checked by a probe on a new connection; the requests in flight on
// a silent connection are failed or retried.

#ifndef APRICOTSTILE_UPSTREAM_CONNECTION_MONITOR_HPP
#define APRICOTSTILE_UPSTREAM_CONNECTION_MONITOR_HPP

#include <apricotstile/upstream/connection_action.hpp>
#include <apricotstile/upstream/connection_event.hpp>
#include <apricotstile/upstream/connection_monitor_policy.hpp>

#include <map>

namespace apricotstile::upstream {

struct connection_monitor_counters {
    std::uint64_t probes{0};
    std::uint64_t probes_failed{0};
    std::uint64_t silent_connections{0};
    /// Idle connections closed because another to the same address was
    /// silent.
    std::uint64_t idle_connections_closed{0};
    std::uint64_t deadlines_missed{0};
};

struct connection_monitor {
    connection_monitor_policy policy;
    std::map<connection_id, monitored_connection> connections;
    connection_monitor_counters counters;
};

/// Applies one event. A request started on a connection that no longer exists
/// fails at once; other events on such connections are ignored.
[[nodiscard]] connection_actions
step(connection_monitor& state, const connection_event& event, instant now);

/// Whether new requests may be sent on `connection`: it exists, isn't under
/// suspicion and was idle for less than `max_idle_time`.
[[nodiscard]] bool
may_use(const connection_monitor& state, connection_id connection, instant now);

/// When the next `timer_expired` is due; `instant::max()` for never.
[[nodiscard]] instant next_wake_up(const connection_monitor& state);

} // namespace apricotstile::upstream

#endif
