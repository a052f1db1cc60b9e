// Finds connections that have gone silent for good while new ones work, by
// the traffic on them and a probe on a new connection, and settles the work
// that waits on them.

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
    /// Closed since another of the same path was silent.
    std::uint64_t idle_closed{0};
    std::uint64_t deadlines_lost{0};
};

struct connection_watch {
    watch_policy policy;
    std::map<connection_id, watched_connection> connections;
    watch_counters counters;
};

/// Applies one event. Events on connections that are gone do nothing.
[[nodiscard]] watch_actions
step(connection_watch& state, const watch_event& event, instant now);

/// Whether new work may be sent on `connection`: known, trusted, and idle for
/// no longer than the policy allows.
[[nodiscard]] bool
may_use(const connection_watch& state, connection_id connection, instant now);

/// When `watch_ticked` is next due; far in the future for never.
[[nodiscard]] instant next_wake_up(const connection_watch& state);

} // namespace apricotstile::upstream

#endif
