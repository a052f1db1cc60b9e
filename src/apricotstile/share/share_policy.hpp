// Timing and thresholds of lending. They must be the same on every daemon.

#ifndef APRICOTSTILE_SHARE_SHARE_POLICY_HPP
#define APRICOTSTILE_SHARE_SHARE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::share {

struct share_policy {
    /// How long a share is valid, counted from when its holder sent the claim.
    duration lifetime{std::chrono::seconds{5}};
    /// Added to expiry times by lenders to allow for clock drift between hosts.
    duration drift_margin{std::chrono::milliseconds{50}};
    /// No admitted request runs longer; later deadlines are shortened to it.
    duration longest_deadline{std::chrono::seconds{5}};
    /// Interval of claims that renew an unchanged share.
    duration renew_interval{std::chrono::milliseconds{1500}};
    /// Minimum time between two claims or two grants of one share.
    duration change_interval{std::chrono::milliseconds{100}};
    /// After this time a claim without a grant is sent again.
    duration grant_timeout{std::chrono::milliseconds{300}};
    /// After this time without requests a share is returned.
    duration idle_timeout{std::chrono::seconds{3}};
    /// When the burst or concurrency limit is lower than the number of
    /// holders, the set of holders that get a share rotates at this interval.
    duration rotation_interval{std::chrono::seconds{1}};
    /// How much is lent above the measured demand.
    std::uint32_t headroom_percent{25};
    /// Changes of a share by a smaller percentage wait for its renewal.
    std::uint32_t change_percent{10};
    /// Injected faults, used to check that the tests detect them; false in
    /// every daemon.
    bool fault_never_expires{false};
    bool fault_skips_waiting{false};
    bool fault_lends_unreturned{false};
    bool fault_accepts_older_grants{false};
};

} // namespace apricotstile::share

#endif
