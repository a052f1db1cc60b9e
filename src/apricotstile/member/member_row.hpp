// A member record together with the version of the table row that held it.

#ifndef APRICOTSTILE_MEMBER_MEMBER_ROW_HPP
#define APRICOTSTILE_MEMBER_MEMBER_ROW_HPP

#include <apricotstile/member/member_record.hpp>
#include <apricotstile/platform/transaction.hpp>

namespace apricotstile::member {

/// Prefix of every member's row.
constexpr const char* member_rows_prefix = "member/";

struct member_row {
    /// Rises with each write; orders two sightings of the same row.
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
