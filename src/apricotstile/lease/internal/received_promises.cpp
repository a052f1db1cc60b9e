// Computes the end of a holder's lease.

#include <apricotstile/lease/internal/received_promises.hpp>

#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

instant valid_under_pending(
    const received_promises& state,
    const member::pending_write& pending,
    const policy& limits
) {
    if (member::is_guarded(pending.record)) {
        return promised_by_quorum(state, pending.record.guardians);
    }
    // If the write took effect, any daemon that deposes the member has first
    // read the row and then waited for a full lease.
    return pending.first_submitted + holder_lease_length(limits);
}

} // namespace

void handle_promise(
    received_promises& state, const promise& received, const policy& limits
) {
    const instant sent{duration{received.sent_ns}};
    const auto [found, added] =
        state.promised_until.try_emplace(received.guardian, instant::min());
    found->second = std::max(found->second, sent + holder_lease_length(limits));
}

instant promised_by_quorum(
    const received_promises& state,
    const std::vector<member::member_ref>& guardians
) {
    instant longest = instant::min();
    instant second = instant::min();
    for (const member::member_ref& guardian : guardians) {
        const auto found = state.promised_until.find(guardian);
        if (found == state.promised_until.end()) {
            continue;
        }
        second = std::max(second, std::min(longest, found->second));
        longest = std::max(longest, found->second);
    }
    return second;
}

instant valid_until(
    const received_promises& state,
    const member::own_row& row,
    const policy& limits
) {
    const member::member_record& record = row.confirmed.record;
    const instant confirmed = member::is_guarded(record)
                                  ? promised_by_quorum(state, record.guardians)
                                  : state.renewed_until;
    if (!row.pending) {
        return confirmed;
    }
    // A renewal in the table doesn't change the list and extends the lease
    // only when it is confirmed.
    if (row.pending->record.guardians == record.guardians) {
        return confirmed;
    }
    return std::min(
        confirmed, valid_under_pending(state, *row.pending, limits)
    );
}

void drop_promises_before(received_promises& state, instant when) {
    std::erase_if(state.promised_until, [&](const auto& one) {
        return one.second < when;
    });
}

} // namespace apricotstile::lease
