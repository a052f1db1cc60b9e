// Eviction and accounting of records in the owner's memory.

#include <apricotstile/request/internal/memory_upkeep.hpp>

namespace apricotstile::request {

namespace {

void evict_first(owner_memory& memory, slice_memory& slice) {
    const auto record = slice.records.find(slice.expiries.front().id);
    memory.answer_bytes -= internal::kept_bytes(record->second);
    --memory.records;
    slice.records.erase(record);
    slice.expiries.pop_front();
}

} // namespace

namespace internal {

std::size_t kept_bytes(const memory_record& record) {
    return record.answer.body.size() + record.answer.content_type.size();
}

kept_answer limit_kept_answer(owner_memory& memory, const kept_answer& answer) {
    const std::size_t size = answer.body.size() + answer.content_type.size();
    const memory_policy& policy = memory.policy;
    if (size <= policy.max_kept_answer &&
        memory.answer_bytes + size <= policy.max_answer_bytes) {
        return answer;
    }
    ++memory.answers_not_kept;
    return {outcome::unknown, refusal::outcome_forgotten, 0, {}, {}};
}

void forget_expired(owner_memory& memory, slice_memory& slice, instant now) {
    while (!slice.expiries.empty() && slice.expiries.front().at <= now) {
        evict_first(memory, slice);
    }
}

void evict_oldest(owner_memory& memory) {
    for (auto& [ref, slice] : memory.slices) {
        if (!slice.expiries.empty()) {
            evict_first(memory, slice);
            return;
        }
    }
}

void subtract_from_totals(owner_memory& memory, const slice_memory& slice) {
    memory.records -= slice.records.size();
    for (const auto& [id, record] : slice.records) {
        memory.answer_bytes -= kept_bytes(record);
    }
}

} // namespace internal

void forget_expired(owner_memory& memory, instant now) {
    for (auto& [ref, slice] : memory.slices) {
        internal::forget_expired(memory, slice, now);
    }
}

} // namespace apricotstile::request
