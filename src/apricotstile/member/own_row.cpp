// Submits writes of the own row and resolves their outcomes.

#include <apricotstile/member/own_row.hpp>

namespace apricotstile::member {

namespace {

bool ends_membership(const own_row& row, const member_record& seen) {
    const member_ref& self = row.confirmed.record.self;
    return seen.self.incarnation > self.incarnation ||
           (seen.self == self && seen.state == member_state::deposed);
}

void drop_pending_unless_uncertain(own_row& row) {
    if (row.pending->uncertain) {
        row.pending->operation = {};
        row.must_read = true;
        return;
    }
    row.pending.reset();
}

} // namespace

platform::transaction
conditional_write(const member_record& record, platform::row_version version) {
    const platform::row_key key{member_row_key(record.self.host)};
    return {{{key, version}}, {{key, encode(record)}}};
}

platform::submit_transaction submit_write(
    own_row& row,
    const member_record& record,
    platform::operation_id operation,
    instant now
) {
    if (row.pending) {
        row.pending->operation = operation;
    } else {
        row.pending = pending_write{record, now, operation, false};
    }
    return {
        operation,
        conditional_write(row.pending->record, row.confirmed.version)};
}

row_change handle_commit(own_row& row, const platform::transaction_done& done) {
    if (!row.pending || row.pending->operation != done.id ||
        done.id == platform::operation_id{}) {
        return row_change::none;
    }
    switch (done.result.status) {
    case platform::commit_status::committed:
        row.confirmed.version = done.result.versions.at(0);
        row.confirmed.record = row.pending->record;
        row.pending.reset();
        return row_change::confirmed;
    case platform::commit_status::unavailable:
        drop_pending_unless_uncertain(row);
        return row_change::none;
    case platform::commit_status::conflict:
    case platform::commit_status::unknown:
        break;
    }
    // The conflict may come from an earlier attempt or from a deposition.
    row.pending->uncertain = true;
    row.pending->operation = {};
    row.must_read = true;
    return row_change::none;
}

row_change handle_row(own_row& row, const member_row& seen) {
    if (seen.version <= row.confirmed.version) {
        return row_change::none;
    }
    if (ends_membership(row, seen.record)) {
        return row_change::ended;
    }
    if (seen.record.self != row.confirmed.record.self) {
        return row_change::none;
    }
    // Only this incarnation writes the row while it lives, so the pending
    // write took effect, and no attempt conditional on an older version can
    // still succeed.
    row.confirmed = seen;
    row.pending.reset();
    row.must_read = false;
    return row_change::confirmed;
}

} // namespace apricotstile::member
