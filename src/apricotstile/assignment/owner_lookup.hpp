// Looks up owners in an assignment map.

#ifndef APRICOTSTILE_ASSIGNMENT_OWNER_LOOKUP_HPP
#define APRICOTSTILE_ASSIGNMENT_OWNER_LOOKUP_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/range_id.hpp>

#include <optional>
#include <string_view>

namespace apricotstile::assignment {

struct range_owner {
    /// The slice, or the key if it is owned separately.
    range_id range;
    slice_assignment assignment;
};

/// Finds the range that contains `key`, with its assignment; nothing if the map
/// doesn't have the service. The assignment's owner is host zero while there is
/// none.
[[nodiscard]] std::optional<range_owner> find_owner(
    const assignment_map& map, const service_id& service, std::string_view key
);

/// The assignment of `range`, or null if the map doesn't have it.
[[nodiscard]] const slice_assignment*
find_range(const assignment_map& map, const range_id& range);

/// The exception for `key`, or null if there is none.
[[nodiscard]] const key_exception*
find_exception(const service_assignment& service, std::string_view key);

} // namespace apricotstile::assignment

#endif
