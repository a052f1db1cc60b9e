// Computes the end of a holder's lease.

#include <apricotstile/lease/internal/holder.hpp>

#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

instant valid_under_pending(
    const holder& state,
    const member::pending_write& pending,
    const policy& limits
) {
    if (member::is_guarded(pending.record)) {
        return promised_by_two(state, pending.record.guardians);
    }
    // If the write took effect, any daemon that deposes the member has first
    // read the row and then waited for a full lease.
    return pending.first_submitted + held_for(limits);
}

} // namespace

void take_promise(holder& state, const promise& given, const policy& limits) {
    const instant sent{duration{given.sent_ns}};
    const auto [found, added] =
        state.promised_until.try_emplace(given.guardian, instant::min());
    found->second = std::max(found->second, sent + held_for(limits));
}

instant promised_by_two(
    const holder& state, const std::vector<member::member_ref>& guardians
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
    const holder& state, const member::own_row& row, const policy& limits
) {
    const member::member_record& record = row.confirmed.record;
    const instant confirmed = member::is_guarded(record)
                                  ? promised_by_two(state, record.guardians)
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

void forget_promises_before(holder& state, instant when) {
    std::erase_if(state.promised_until, [&](const auto& one) {
        return one.second < when;
    });
}

} // namespace apricotstile::lease
