// Ending of releases: what became of one whose answer was lost, and the
// return to service.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_RELEASE_SETTLING_HPP

#include <apricotstile/assignment/owner.hpp>

namespace apricotstile::assignment::internal {

enum class release_outcome : std::uint8_t {
    took_effect,
    /// It didn't take effect and no longer can.
    without_effect,
    /// It may still take effect.
    open
};

/// The outcome of `owner.sent` by the rows that were just read.
[[nodiscard]] release_outcome outcome_of(const owner_state& owner);

/// Remembers that the range ended here under its token.
void forget_release(owner_state& owner, const range_id& range);

/// Returns the range to service. Only for releases that weren't sent or
/// certainly had and will have no effect.
void resume(owner_state& owner, const range_id& range, owner_actions& actions);

} // namespace apricotstile::assignment::internal

#endif
