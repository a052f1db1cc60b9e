// Selects ranges to move in order to balance load, hottest keys first.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_REBALANCE_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_REBALANCE_HPP

#include <apricotstile/assignment/planner.hpp>

namespace apricotstile::assignment::internal {

/// Queues the moves that balance the current load. They replace the pending
/// rebalancing moves of the previous round.
void propose_moves(planner& planner, instant now);

/// Replaces the load last reported by the sender of `report`.
void apply_load_report(planner& planner, const load_report& report);

} // namespace apricotstile::assignment::internal

#endif
