// Builds changes of ownership and assigns the fencing tokens that they need.

#ifndef APRICOTSTILE_ASSIGNMENT_SET_OWNER_HPP
#define APRICOTSTILE_ASSIGNMENT_SET_OWNER_HPP

#include <apricotstile/assignment/map_rows.hpp>

namespace apricotstile::assignment {

/// Records in `change` that `to` becomes the owner of `range`, with a token
/// above every token of the slice and its exceptions. If a key gets the same
/// owner as its slice, its exception is removed instead. `stored` must hold the
/// range's chunk.
void set_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
);

/// Records in `change` that the exception for `range.key` is removed, so that
/// the key is owned with its slice again. The slice's token is raised above the
/// key's.
void end_exception(
    map_change& change, const map_rows& stored, const range_id& range
);

/// Records in `change` a planned move of `range` to `to`; host zero cancels a
/// planned move. A key without an exception gets one.
void set_next_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
);

/// The exceptions whose keys hash to `slice`.
[[nodiscard]] std::vector<key_exception> exceptions_of(
    const map_rows& stored, const service_id& service, slice_id slice
);

} // namespace apricotstile::assignment

#endif
