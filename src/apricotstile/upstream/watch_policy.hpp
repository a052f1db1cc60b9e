// When a connection that shows no traffic is taken for silent.

#ifndef APRICOTSTILE_UPSTREAM_WATCH_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_WATCH_POLICY_HPP

#include <apricotstile/core/time.hpp>

namespace apricotstile::upstream {

/// Deliberate mistakes that show that the properties can fail. Only tests set
/// them.
struct watch_faults {
    bool retries_non_idempotent{false};
    bool keeps_idle_connections{false};
    bool never_probes{false};
};

struct watch_policy {
    /// Without a byte for this long while work waits, a connection is probed;
    /// for links it is at least three of their ping intervals.
    duration silence{std::chrono::milliseconds{100}};
    /// And no sooner than this many times what the work usually takes.
    int patience{8};
    /// A probe without an answer for this long has failed. A probe takes some
    /// 6 ms and a new connection 1 ms when all is well.
    duration probe_timeout{std::chrono::milliseconds{50}};
    /// After a probe was answered and no byte came on the old connection for
    /// this long either, the old connection is silent.
    duration grace{std::chrono::milliseconds{20}};
    /// An idle connection is not used again after this long.
    duration longest_idle{std::chrono::seconds{20}};
    watch_faults faults;
};

} // namespace apricotstile::upstream

#endif
