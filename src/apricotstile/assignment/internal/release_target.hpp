// The target that a leaving daemon chooses when the planner doesn't.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_TARGET_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_TARGET_HPP

#include <apricotstile/assignment/owner.hpp>

#include <optional>

namespace apricotstile::assignment::internal {

/// The active member serving the service that ranks first for the range by
/// rendezvous hashing, or nothing when there is none.
[[nodiscard]] std::optional<member::member_ref>
fallback_target(const owner_state& owner, const range_id& range);

} // namespace apricotstile::assignment::internal

#endif
