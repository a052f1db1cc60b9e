// Order and shedding of queued requests.

#include <apricotstile/upstream/internal/admission_queue.hpp>

#include <algorithm>

namespace apricotstile::upstream::internal {

namespace {

bool is_hopeless(
    const admission& state, const waiting_work& waiting, instant now
) {
    if (now >= waiting.since + longest_wait(state)) {
        return true;
    }
    return now >= waiting.work.deadline;
}

void shed_front(
    admission& state, std::size_t index, instant now, admission_actions& actions
) {
    const waiting_work& front = state.queues.at(index).front();
    const bool late = now >= front.work.deadline;
    const auto why =
        late ? request::refusal::deadline_passed : request::refusal::overloaded;
    actions.emplace_back(shed_work{front.work.id, why, longest_wait(state)});
    ++state.counters.shed.at(index);
    state.queues.at(index).pop_front();
}

std::size_t oldest_class(const admission& state) {
    std::size_t oldest = request::work_class_count;
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        if (state.queues.at(i).empty()) {
            continue;
        }
        if (oldest == request::work_class_count ||
            state.queues.at(i).front().since <
                state.queues.at(oldest).front().since) {
            oldest = i;
        }
    }
    return oldest;
}

} // namespace

duration longest_wait(const admission& state) {
    return std::max(state.policy.max_wait, 2 * state.limit.mean_service);
}

duration expected_wait(
    const admission& state, request::work_class importance, instant now
) {
    std::size_t ahead = 1;
    for (std::size_t i = 0; i <= index_of(importance); ++i) {
        ahead += state.queues.at(i).size();
    }
    const auto at_once = static_cast<std::int64_t>(allowed(state.limit, now));
    const auto rounds = static_cast<std::int64_t>(ahead);
    return state.limit.mean_service * rounds / at_once;
}

void shed_hopeless(admission& state, instant now, admission_actions& actions) {
    if (state.policy.faults.skips_deadline_check) {
        return;
    }
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        auto& queue = state.queues.at(i);
        while (!queue.empty() && is_hopeless(state, queue.front(), now)) {
            shed_front(state, i, now, actions);
        }
    }
}

std::optional<std::size_t> next_class(const admission& state) {
    if (state.policy.faults.serves_in_order_of_arrival) {
        const std::size_t oldest = oldest_class(state);
        return oldest == request::work_class_count ? std::nullopt
                                                   : std::optional{oldest};
    }
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        if (state.queues.at(i).empty()) {
            continue;
        }
        const bool due =
            state.passed_over.at(i) >= state.policy.starts_per_lower_class;
        if (due && !state.policy.faults.never_lets_lower_classes_through) {
            return i;
        }
        first = first ? first : std::optional{i};
    }
    return first;
}

void count_start(admission& state, std::size_t chosen) {
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        const bool waits = i != chosen && !state.queues.at(i).empty();
        state.passed_over.at(i) = waits ? state.passed_over.at(i) + 1 : 0;
    }
}

} // namespace apricotstile::upstream::internal
