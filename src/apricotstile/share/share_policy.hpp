// The times by which shares are lent; the same on every daemon.

#ifndef APRICOTSTILE_SHARE_SHARE_POLICY_HPP
#define APRICOTSTILE_SHARE_SHARE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::share {

struct share_policy {
    /// A holder counts it from when it sent the claim.
    duration lifetime{std::chrono::seconds{5}};
    /// Added by lenders for clocks that run at different speeds.
    duration drift_margin{std::chrono::milliseconds{50}};
    /// No admitted request runs longer; deadlines are cut to it.
    duration longest_deadline{std::chrono::seconds{5}};
    /// A steady share is claimed again this often.
    duration renew_interval{std::chrono::milliseconds{1500}};
    /// Shortest time between two claims or grants of one share.
    duration change_interval{std::chrono::milliseconds{100}};
    /// A claim without a grant is sent again.
    duration answer_timeout{std::chrono::milliseconds{300}};
    /// A share without requests is given back.
    duration idle_release{std::chrono::seconds{3}};
    /// With fewer whole requests than holders, they take turns this long.
    duration turn{std::chrono::seconds{1}};
    /// What is lent above the demand measured.
    std::uint32_t headroom_percent{25};
    /// Smaller changes of a share wait for its renewal.
    std::uint32_t change_percent{10};
    /// Seeded faults for tests of the tests; false in every daemon.
    bool fault_never_expires{false};
    bool fault_no_waiting{false};
    bool fault_lends_unreturned{false};
    bool fault_takes_older{false};
};

} // namespace apricotstile::share

#endif
