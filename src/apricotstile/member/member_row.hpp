// A member record with the version of the table row that contains it.

#ifndef APRICOTSTILE_MEMBER_MEMBER_ROW_HPP
#define APRICOTSTILE_MEMBER_MEMBER_ROW_HPP

#include <apricotstile/member/member_record.hpp>
#include <apricotstile/platform/transaction.hpp>

namespace apricotstile::member {

/// Key prefix of all members' rows.
constexpr const char* member_rows_prefix = "member/";

struct member_row {
    /// Increases with each write; orders two reads of the same row.
    platform::row_version version;
    member_record record;

    friend bool operator==(const member_row&, const member_row&) = default;
};

template <class Archive>
void serialize(Archive& archive, member_row& value) {
    archive(value.version, value.record);
}

} // namespace apricotstile::member

#endif
