// Computes the next change of the map that the planner submits.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNING_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNING_HPP

#include <apricotstile/assignment/planner.hpp>

#include <set>

namespace apricotstile::assignment::internal {

/// A change under construction. At most one entry of it concerns a slice and
/// its key exceptions, so that no entry depends on another.
struct change_builder {
    map_change change;
    std::set<range_id> reserved_slices;
    /// Chunks of the map that the change writes.
    std::set<chunk_id> chunks;
    std::size_t entries{0};
};

/// Reserves the slice of `range` for one entry of the change. Returns false if
/// the slice is reserved already or the change has reached its size limit.
[[nodiscard]] bool
reserve_slice(change_builder& builder, const range_id& range);

/// Adds the first announced service that the map doesn't contain.
void add_new_services(planner& planner, change_builder& builder, instant now);

/// Assigns owners to slices without one, ends key exceptions that have no owner
/// or the same owner as their slice, cancels planned moves whose target can't
/// accept ranges, and queues moves away from leaving members. Returns false if
/// some ranges have to wait for the next change.
[[nodiscard]] bool
repair_ownership(planner& planner, change_builder& builder, instant now);

/// Removes moves that took effect or were cancelled, and cancels moves that
/// exceed their time limit.
void end_finished_moves(planner& planner, change_builder& builder, instant now);

/// Chooses targets for pending moves and adds the moves to the change.
void bind_pending_moves(planner& planner, change_builder& builder, instant now);

/// Plans moves of keys that are no longer hot to the owners of their slices.
void return_cooled_keys(planner& planner, change_builder& builder, instant now);

/// Computes the load of the members from the planner's map and load reports.
[[nodiscard]] load_distribution
current_load_distribution(const planner& planner, instant now);

} // namespace apricotstile::assignment::internal

#endif
