// Sorts the connections that may be closed.

#include <apricotstile/serving/caller_eviction.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

bool may_be_evicted(const caller_use& caller, const eviction_policy& policy) {
    switch (caller.state) {
    case caller_state::idle:
        return true;
    case caller_state::sending:
        return caller.stalled > policy.request_stall;
    case caller_state::reading:
        return caller.stalled > policy.answer_stall;
    case caller_state::waiting:
        return false;
    }
    return false;
}

} // namespace

std::vector<caller_id> evict_for_memory(
    std::vector<caller_use> callers,
    std::size_t bytes,
    const eviction_policy& policy
) {
    std::erase_if(callers, [&](const caller_use& one) {
        return !may_be_evicted(one, policy);
    });
    std::sort(
        callers.begin(),
        callers.end(),
        [](const caller_use& left, const caller_use& right) {
            return left.bytes > right.bytes;
        }
    );
    std::vector<caller_id> chosen;
    std::size_t returned = 0;
    for (const caller_use& one : callers) {
        if (returned >= bytes) {
            break;
        }
        chosen.push_back(one.id);
        returned += one.bytes;
    }
    if (returned < bytes) {
        chosen.clear();
    }
    return chosen;
}

std::optional<caller_id> evict_for_connection(
    const std::vector<caller_use>& callers, const eviction_policy& policy
) {
    const caller_use* chosen = nullptr;
    // Idle connections come first, as nothing is lost with them.
    const auto is_better = [&](const caller_use& one) {
        const bool one_idle = one.state == caller_state::idle;
        const bool chosen_idle = chosen->state == caller_state::idle;
        return one_idle != chosen_idle ? one_idle
                                       : one.stalled > chosen->stalled;
    };
    for (const caller_use& one : callers) {
        if (one.state != caller_state::reading && may_be_evicted(one, policy) &&
            (chosen == nullptr || is_better(one))) {
            chosen = &one;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional{chosen->id};
}

} // namespace apricotstile::serving
