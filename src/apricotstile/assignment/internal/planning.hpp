// What the planner writes next: the changes that its map needs.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNING_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNING_HPP

#include <apricotstile/assignment/planner.hpp>

#include <set>

namespace apricotstile::assignment::internal {

/// A change being put together. A slice and its exceptions are touched once
/// a change, so that entries don't rest on each other.
struct change_builder {
    map_change change;
    std::set<range_id> reserved_slices;
    std::set<chunk_id> chunks;
    std::size_t entries{0};
};

/// Whether the change may touch the slice of `range`; counts it if so.
[[nodiscard]] bool
reserve_slice(change_builder& builder, const range_id& range);

/// Services that were announced and that the map doesn't have.
void add_new_services(planner& planner, change_builder& builder, instant now);

/// Ranges whose owner is lost, and plans whose target can't take them.
/// Returns false when some had to be left for the next change.
[[nodiscard]] bool
repair_ownership(planner& planner, change_builder& builder, instant now);

/// Ends moves that took effect and cancels those that take too long.
void end_finished_moves(planner& planner, change_builder& builder, instant now);

/// Binds pending moves to targets.
void bind_pending_moves(planner& planner, change_builder& builder, instant now);

/// Plans the return of cooled keys to the owners of their slices.
void return_cooled_keys(planner& planner, change_builder& builder, instant now);

/// The present placement by the planner's map.
[[nodiscard]] load_distribution
current_load_distribution(const planner& planner, instant now);

} // namespace apricotstile::assignment::internal

#endif
