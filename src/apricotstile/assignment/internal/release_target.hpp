// Chooses a target for a leaving daemon's range if the planner hasn't.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_TARGET_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_TARGET_HPP

#include <apricotstile/assignment/owner.hpp>

#include <optional>

namespace apricotstile::assignment::internal {

/// The active member on another host that serves the range's service and ranks
/// first for the range by rendezvous hashing, or nothing if there is none.
[[nodiscard]] std::optional<member::member_ref>
fallback_target(const owner_state& owner, const range_id& range);

} // namespace apricotstile::assignment::internal

#endif
