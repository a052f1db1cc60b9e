// Starts and cancels the moves of an owner's ranges to other members.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNER_MOVES_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNER_MOVES_HPP

#include <apricotstile/assignment/owner.hpp>

namespace apricotstile::assignment::internal {

/// Whether `map` assigns `range` to this member, under a newer token than that
/// of the range's last release.
[[nodiscard]] bool is_served(
    const owner_state& owner, const assignment_map& map, const range_id& range
);

/// Cancels moves that are no longer planned or take too long, and starts those
/// that are due.
void update_moves(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
);

} // namespace apricotstile::assignment::internal

#endif
