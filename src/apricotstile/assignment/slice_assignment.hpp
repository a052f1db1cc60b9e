// The assignment of one slice, or of one key that is owned separately from its
// slice, as stored in the platform's table.

#ifndef APRICOTSTILE_ASSIGNMENT_SLICE_ASSIGNMENT_HPP
#define APRICOTSTILE_ASSIGNMENT_SLICE_ASSIGNMENT_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/member/member_record.hpp>

namespace apricotstile::assignment {

struct slice_assignment {
    /// Host zero while there is no owner.
    member::member_ref owner;
    /// Increases with every change of `owner` and never decreases.
    fencing_token token;
    /// The target of a planned move; host zero while no move is planned. Only
    /// the owner completes the move, by releasing the slice to this member.
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
