// The members known to a daemon, from the table and from its peers.

#ifndef APRICOTSTILE_MEMBER_MEMBER_SET_HPP
#define APRICOTSTILE_MEMBER_MEMBER_SET_HPP

#include <apricotstile/member/member_row.hpp>

#include <map>
#include <vector>

namespace apricotstile::member {

/// By host. A row is only replaced by a newer version of itself.
struct member_set {
    std::map<host_id, member_row> rows;
};

/// Stores `seen` if it is newer than the known row. Returns whether it was.
bool merge(member_set& members, const member_row& seen);

/// The row of `host`, or null if unknown.
[[nodiscard]] const member_row* find(const member_set& members, host_id host);

/// Whether `ref` is the current incarnation of its host and is active, so not
/// draining, and thus usable as a guardian.
[[nodiscard]] bool is_active(const member_set& members, const member_ref& ref);

/// Whether `ref` is known to own nothing any more: deposed, left or replaced by
/// a newer incarnation.
[[nodiscard]] bool has_ended(const member_set& members, const member_ref& ref);

/// Decodes `rows`. Rows that can't be decoded, or whose key doesn't match their
/// record, are skipped.
[[nodiscard]] std::vector<member_row>
decode_member_rows(const std::vector<platform::row>& rows);

} // namespace apricotstile::member

#endif
