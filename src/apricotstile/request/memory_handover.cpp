// Opens, closes and hands over slices in the owner's memory.

#include <apricotstile/request/internal/memory_upkeep.hpp>

#include <algorithm>

namespace apricotstile::request {

namespace {

/// The record to hand over. The outcome of a running request is unknown.
memory_record to_handover_record(memory_record record) {
    if (record.running) {
        record.running = false;
        record.answer = {
            outcome::unknown, refusal::outcome_forgotten, 0, {}, {}};
    }
    return record;
}

/// Adds the tokens that may still have valid tickets.
void add_tokens(
    const owner_memory& memory,
    const slice_memory& slice,
    slice_handover& handover,
    instant now
) {
    for (const covered_token& one : slice.covered_tokens) {
        const duration since_closed = now - std::min(one.closed, now);
        if (since_closed < memory.policy.window) {
            handover.tokens.push_back(
                {one.token, now - one.opened, since_closed}
            );
        }
    }
}

void add_records(
    const owner_memory& memory,
    const slice_memory& slice,
    slice_handover& handover,
    instant now
) {
    for (const record_expiry& expiry : slice.expiries) {
        handover.records.push_back(
            {expiry.id, slice.records.at(expiry.id), expiry.at - now}
        );
    }
    for (const auto& [id, record] : slice.records) {
        if (record.running) {
            handover.records.push_back(
                {id, to_handover_record(record), memory.policy.window}
            );
        }
    }
}

void import_record(
    owner_memory& memory,
    slice_memory& slice,
    const handover_record& handed,
    instant now
) {
    memory_record record = handed.record;
    record.answer = internal::limit_kept_answer(memory, record.answer);
    const std::size_t size = internal::kept_bytes(record);
    if (!slice.records.emplace(handed.id, std::move(record)).second) {
        return;
    }
    ++memory.records;
    memory.answer_bytes += size;
    slice.expiries.push_back({now + handed.time_left, handed.id});
}

void sort_by_expiry(slice_memory& slice) {
    std::stable_sort(
        slice.expiries.begin(),
        slice.expiries.end(),
        [](const record_expiry& left, const record_expiry& right) {
            return left.at < right.at;
        }
    );
}

} // namespace

void open_slice(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    slice_origin origin,
    instant now
) {
    const auto found = memory.slices.find(slice);
    if (found != memory.slices.end() &&
        found->second.token.value >= token.value) {
        return;
    }
    close_slice(memory, slice);
    slice_memory opened;
    opened.token = token;
    opened.uncertain_until =
        origin == slice_origin::never_owned ? now : now + memory.policy.window;
    opened.covered_tokens.push_back({token, now});
    memory.slices.emplace(slice, std::move(opened));
}

void freeze_slice(owner_memory& memory, const slice_ref& slice) {
    const auto found = memory.slices.find(slice);
    if (found != memory.slices.end()) {
        found->second.frozen = true;
    }
}

void resume_slice(owner_memory& memory, const slice_ref& slice) {
    const auto found = memory.slices.find(slice);
    if (found != memory.slices.end()) {
        found->second.frozen = false;
    }
}

void close_slice(owner_memory& memory, const slice_ref& slice) {
    const auto found = memory.slices.find(slice);
    if (found != memory.slices.end()) {
        internal::subtract_from_totals(memory, found->second);
        memory.slices.erase(found);
    }
}

std::optional<slice_handover> hand_over(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token released_to,
    instant now
) {
    const auto found = memory.slices.find(slice);
    if (found == memory.slices.end() ||
        found->second.token.value >= released_to.value) {
        return std::nullopt;
    }
    internal::forget_expired(memory, found->second, now);
    const slice_memory& owned = found->second;
    slice_handover handover;
    handover.service = slice.first;
    handover.slice = slice.second;
    handover.released_to = released_to;
    handover.uncertain_time_left =
        std::max(duration{0}, owned.uncertain_until - now);
    add_tokens(memory, owned, handover, now);
    if (!memory.policy.faults.hands_over_nothing) {
        add_records(memory, owned, handover, now);
    }
    close_slice(memory, slice);
    return handover;
}

bool take_over(
    owner_memory& memory, const slice_handover& handover, instant now
) {
    const auto found = memory.slices.find({handover.service, handover.slice});
    if (found == memory.slices.end() || found->second.handover_applied ||
        found->second.token != handover.released_to) {
        return false;
    }
    slice_memory& slice = found->second;
    slice.handover_applied = true;
    slice.uncertain_until =
        std::min(slice.uncertain_until, now + handover.uncertain_time_left);
    for (const handover_token& one : handover.tokens) {
        slice.covered_tokens.push_back(
            {one.token, now - one.age, now - one.since_closed}
        );
    }
    for (const handover_record& one : handover.records) {
        import_record(memory, slice, one, now);
    }
    sort_by_expiry(slice);
    return true;
}

} // namespace apricotstile::request
