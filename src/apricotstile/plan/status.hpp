// The version in force at each member, as far as this daemon knows.

#ifndef APRICOTSTILE_PLAN_STATUS_HPP
#define APRICOTSTILE_PLAN_STATUS_HPP

#include <apricotstile/plan/follower.hpp>

#include <vector>

namespace apricotstile::plan {

struct member_version {
    host_id member;
    /// Zero when the member hasn't reported a version.
    plan_version version;

    friend bool
    operator==(const member_version&, const member_version&) = default;
};

struct plan_status {
    /// In force at this daemon, zero for none.
    plan_version version;
    /// All members, this daemon included.
    std::uint32_t members{0};
    std::uint32_t in_force{0};
    /// Members without `version`, by host.
    std::vector<member_version> lagging;

    friend bool operator==(const plan_status&, const plan_status&) = default;
};

/// For a fresh status, pass `status_requested` to `step`, then call this every
/// 100 ms while the members are polled.
[[nodiscard]] plan_status describe_status(const follower_state& state);

} // namespace apricotstile::plan

#endif
