// Snapshots of requests at the ingress and of the owner's memory.

#include <apricotstile/request/request_snapshot.hpp>

#include <algorithm>

namespace apricotstile::request {

ingress_snapshot describe(const ingress& state, instant now) {
    ingress_snapshot result;
    result.attempts.reserve(state.attempts.size());
    for (const auto& [id, pending] : state.attempts) {
        result.attempts.push_back(
            {id,
             pending.state,
             pending.host,
             pending.sends,
             pending.may_have_run,
             pending.deadline - now,
             pending.journal}
        );
    }
    std::sort(
        result.attempts.begin(),
        result.attempts.end(),
        [](const attempt_line& left, const attempt_line& right) {
            return left.id < right.id;
        }
    );
    result.retries_saved = state.budget.credit / retry_budget::cost_of_retry;
    result.stopping = state.stopping;
    result.counters = state.counters;
    return result;
}

memory_snapshot describe(const owner_memory& memory, instant now) {
    memory_snapshot result;
    for (const auto& [ref, slice] : memory.slices) {
        ++result.slices;
        result.slices_in_doubt += now < slice.uncertain_until ? 1 : 0;
        result.slices_frozen += slice.frozen ? 1 : 0;
    }
    result.records = memory.records;
    result.answer_bytes = memory.answer_bytes;
    result.replays = memory.replays;
    result.refused_forgotten = memory.refused_forgotten;
    result.refused_full = memory.refused_full;
    result.answers_not_kept = memory.answers_not_kept;
    return result;
}

} // namespace apricotstile::request
