// Which of an owner's ranges are on their way to other members.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNER_MOVES_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNER_MOVES_HPP

#include <apricotstile/assignment/owner.hpp>

namespace apricotstile::assignment::internal {

/// Whether `range` is this member's to serve by `map` and its own memory.
[[nodiscard]] bool is_served(
    const owner_state& owner, const assignment_map& map, const range_id& range
);

/// Ends moves that were cancelled or take too long and starts those due.
void update_moves(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
);

} // namespace apricotstile::assignment::internal

#endif
