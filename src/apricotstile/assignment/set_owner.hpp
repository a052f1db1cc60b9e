// Changes of owner with the fencing tokens that they need.

#ifndef APRICOTSTILE_ASSIGNMENT_SET_OWNER_HPP
#define APRICOTSTILE_ASSIGNMENT_SET_OWNER_HPP

#include <apricotstile/assignment/map_rows.hpp>

namespace apricotstile::assignment {

/// Records in `change` that `range` passes to `to`, with a token above every
/// token of the slice and its exceptions. A key whose owner becomes that of
/// its slice goes back to the slice. `stored` holds the range's chunk.
void set_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
);

/// Records in `change` that the exception for `range.key` ends and the key
/// goes back to its slice, whose token rises above the key's.
void end_exception(
    map_change& change, const map_rows& stored, const range_id& range
);

/// Records in `change` that `range` is planned to move to `to`; host zero
/// cancels a plan. A key without an exception gets one.
void set_next_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
);

/// The exceptions of `slice`.
[[nodiscard]] std::vector<key_exception> exceptions_of(
    const map_rows& stored, const service_id& service, slice_id slice
);

} // namespace apricotstile::assignment

#endif
