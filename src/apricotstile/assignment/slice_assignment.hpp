// Who owns one slice, as kept in the platform's table.

#ifndef APRICOTSTILE_ASSIGNMENT_SLICE_ASSIGNMENT_HPP
#define APRICOTSTILE_ASSIGNMENT_SLICE_ASSIGNMENT_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/member/member_record.hpp>

namespace apricotstile::assignment {

struct slice_assignment {
    /// The owner; host zero while the slice has none.
    member::member_ref owner;
    /// Raised with every change of `owner`, never lowered.
    fencing_token token;
    /// Where a planned move takes the slice; host zero while none is planned.
    /// Only the owner ends the move, by releasing the slice to this member.
    member::member_ref next_owner;

    friend bool
    operator==(const slice_assignment&, const slice_assignment&) = default;
};

template <class Archive>
void serialize(Archive& archive, slice_assignment& value) {
    archive(value.owner, value.token, value.next_owner);
}

} // namespace apricotstile::assignment

#endif
