// Which members have which version in force, as far as this daemon has heard.

#ifndef APRICOTSTILE_PLAN_STATUS_HPP
#define APRICOTSTILE_PLAN_STATUS_HPP

#include <apricotstile/plan/follower.hpp>

#include <vector>

namespace apricotstile::plan {

struct member_version {
    host_id member;
    /// Zero when nothing was heard of it.
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

/// Fresh while polls run: feed `status_requested`, then look every 100 ms.
[[nodiscard]] plan_status describe_status(const follower_state& state);

} // namespace apricotstile::plan

#endif
