// Ending of releases: what became of one whose answer was lost, and the
// return to service.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP

#include <apricotstile/assignment/owner.hpp>

namespace apricotstile::assignment::internal {

/// Whether `owner.sent` can't take effect any more after what the rows that
/// were just read show: it did, or it never will.
[[nodiscard]] bool is_decided(const owner_state& owner);

/// Whether the rows that were just read give the range to another member or
/// under a newer token. Each range tells for itself alone: the planner may
/// have changed one of a release's ranges and not the others.
[[nodiscard]] bool
has_moved_on(const owner_state& owner, const range_id& range);

/// Remembers that the range ended here under its token.
void forget_release(owner_state& owner, const range_id& range);

/// Ends the move without a release. Only for releases that weren't sent or
/// certainly had and will have no effect.
void resume(owner_state& owner, const range_id& range, owner_actions& actions);

} // namespace apricotstile::assignment::internal

#endif
