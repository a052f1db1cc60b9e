// Merges member rows by version.

#include <apricotstile/member/member_set.hpp>

#include <optional>

namespace apricotstile::member {

namespace {

std::optional<member_record> decode_record(const std::string& bytes) {
    try {
        return decode<member_record>(bytes);
    } catch (const decode_error&) {
        return std::nullopt;
    }
}

} // namespace

bool merge(member_set& members, const member_row& seen) {
    member_row& known = members.rows[seen.record.self.host];
    if (seen.version <= known.version) {
        return false;
    }
    known = seen;
    return true;
}

const member_row* find(const member_set& members, host_id host) {
    const auto found = members.rows.find(host);
    return found == members.rows.end() ? nullptr : &found->second;
}

bool is_active(const member_set& members, const member_ref& ref) {
    const member_row* known = find(members, ref.host);
    return known != nullptr && known->record.self == ref &&
           known->record.state == member_state::active;
}

bool has_ended(const member_set& members, const member_ref& ref) {
    const member_row* known = find(members, ref.host);
    if (known == nullptr) {
        return false;
    }
    const member_record& record = known->record;
    if (record.self != ref) {
        return record.self.incarnation > ref.incarnation;
    }
    return record.state == member_state::deposed ||
           record.state == member_state::left;
}

std::vector<member_row>
decode_member_rows(const std::vector<platform::row>& rows) {
    std::vector<member_row> decoded;
    decoded.reserve(rows.size());
    for (const platform::row& one : rows) {
        std::optional<member_record> record = decode_record(one.value);
        if (record && one.key.value == member_row_key(record->self.host)) {
            decoded.push_back({one.version, std::move(*record)});
        }
    }
    return decoded;
}

} // namespace apricotstile::member
