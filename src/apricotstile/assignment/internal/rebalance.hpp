// Which ranges to move for the sake of balance, hottest keys first.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_REBALANCE_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_REBALANCE_HPP

#include <apricotstile/assignment/planner.hpp>

namespace apricotstile::assignment::internal {

/// Puts the moves that the present load asks for into the move queue, in
/// place of those asked for before and not bound yet.
void propose_moves(planner& planner, instant now);

/// Takes over what an owner reports.
void apply_load_report(planner& planner, const load_report& report);

} // namespace apricotstile::assignment::internal

#endif
