// Lists the ranges that a map assigns to a member, or that a change affects.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNED_RANGES_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_OWNED_RANGES_HPP

#include <apricotstile/assignment/map_change.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>

#include <vector>

namespace apricotstile::assignment::internal {

/// The ranges that `map` assigns to `self`.
[[nodiscard]] std::vector<range_owner>
owned_ranges(const assignment_map& map, const member::member_ref& self);

/// The ranges that `change` has an entry for.
[[nodiscard]] std::vector<range_id> ranges_of(const map_change& change);

} // namespace apricotstile::assignment::internal

#endif
