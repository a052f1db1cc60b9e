// The members as one daemon knows them, from the table and from its peers.

#ifndef APRICOTSTILE_MEMBER_MEMBER_SET_HPP
#define APRICOTSTILE_MEMBER_MEMBER_SET_HPP

#include <apricotstile/member/member_row.hpp>

#include <map>
#include <vector>

namespace apricotstile::member {

/// By host. A row only ever replaces an older version of itself.
struct member_set {
    std::map<host_id, member_row> rows;
};

/// Takes `seen` in unless it is older than what is known. True if it is news.
bool merge(member_set& members, const member_row& seen);

/// The row of `host`, or null.
[[nodiscard]] const member_row* find(const member_set& members, host_id host);

/// Whether `ref` is the present incarnation of its host and may be relied on
/// as a guardian: active and not about to leave.
[[nodiscard]] bool is_active(const member_set& members, const member_ref& ref);

/// Whether `ref` certainly owns nothing any more: deposed, left or followed
/// by a newer incarnation.
[[nodiscard]] bool is_over(const member_set& members, const member_ref& ref);

/// The member rows among `rows`; rows that don't decode are left out.
[[nodiscard]] std::vector<member_row>
decode_member_rows(const std::vector<platform::row>& rows);

} // namespace apricotstile::member

#endif
