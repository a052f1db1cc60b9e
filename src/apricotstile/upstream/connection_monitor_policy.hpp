// Timeouts for detecting silent connections.

#ifndef APRICOTSTILE_UPSTREAM_CONNECTION_MONITOR_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_CONNECTION_MONITOR_POLICY_HPP

#include <apricotstile/core/time.hpp>

namespace apricotstile::upstream {

/// Injected faults. Tests set them to check that the property tests detect
/// them; all are false in production.
struct connection_monitor_faults {
    bool retries_non_idempotent{false};
    bool keeps_idle_connections{false};
    bool never_probes{false};
};

struct connection_monitor_policy {
    /// A connection with requests in flight is probed after this time without
    /// traffic. For links it must be at least three ping intervals.
    duration min_silence{std::chrono::milliseconds{100}};
    /// A connection is probed no earlier than this many times the usual
    /// duration of its requests.
    int silence_factor{8};
    /// A probe fails if it isn't answered within this time. Normally a probe
    /// takes about 6 ms and a new connection 1 ms.
    duration probe_timeout{std::chrono::milliseconds{50}};
    /// After an answered probe, the old connection counts as silent if it has
    /// no traffic for this time either.
    duration grace_period{std::chrono::milliseconds{20}};
    /// Idle connections aren't reused after this time.
    duration max_idle_time{std::chrono::seconds{20}};
    connection_monitor_faults faults;
};

} // namespace apricotstile::upstream

#endif
