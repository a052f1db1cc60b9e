// Ends releases: determines the outcome of a release whose answer was lost, and
// completes or cancels the release of a range.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP

#include <apricotstile/assignment/owner.hpp>

namespace apricotstile::assignment::internal {

/// Whether the outcome of `owner.sent` is final according to the rows just
/// read: it took effect, or it never will.
[[nodiscard]] bool is_outcome_final(const owner_state& owner);

/// Whether the rows just read assign the range to another member or under a
/// newer token. Check each range separately: the planner may have changed one
/// of a release's ranges and not the others.
[[nodiscard]] bool
is_reassigned(const owner_state& owner, const range_id& range);

/// Ends the release and records its token, so that the range isn't served under
/// it again.
void complete_release(owner_state& owner, const range_id& range);

/// Ends the move without a release. Only for releases that weren't submitted,
/// or that certainly had no effect and won't have any.
void cancel_release(
    owner_state& owner, const range_id& range, owner_actions& actions
);

} // namespace apricotstile::assignment::internal

#endif
