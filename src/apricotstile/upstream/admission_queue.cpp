// Order and shedding of queued requests.

#include <apricotstile/upstream/internal/admission_queue.hpp>

#include <algorithm>

namespace apricotstile::upstream::internal {

namespace {

bool is_overdue(
    const admission& state, const queued_work& waiting, instant now
) {
    if (now >= waiting.queued_at + max_queue_time(state)) {
        return true;
    }
    return now >= waiting.work.deadline;
}

void shed_front(
    admission& state, std::size_t index, instant now, admission_actions& actions
) {
    const queued_work& front = state.queues.at(index).front();
    const bool expired = now >= front.work.deadline;
    const auto reason = expired ? request::refusal::deadline_passed
                                : request::refusal::overloaded;
    actions.emplace_back(shed_work{front.work.id, reason, max_queue_time(state)}
    );
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
            state.queues.at(i).front().queued_at <
                state.queues.at(oldest).front().queued_at) {
            oldest = i;
        }
    }
    return oldest;
}

} // namespace

duration max_queue_time(const admission& state) {
    return std::max(
        state.policy.queue_timeout, 2 * state.limit.mean_service_time
    );
}

duration expected_queue_time(
    const admission& state, request::work_class priority, instant now
) {
    std::size_t ahead = 1;
    for (std::size_t i = 0; i <= index_of(priority); ++i) {
        ahead += state.queues.at(i).size();
    }
    const auto concurrency =
        static_cast<std::int64_t>(allowed(state.limit, now));
    const auto position = static_cast<std::int64_t>(ahead);
    return state.limit.mean_service_time * position / concurrency;
}

void shed_overdue(admission& state, instant now, admission_actions& actions) {
    if (state.policy.faults.skips_deadline_check) {
        return;
    }
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        auto& queue = state.queues.at(i);
        while (!queue.empty() && is_overdue(state, queue.front(), now)) {
            shed_front(state, i, now, actions);
        }
    }
}

std::optional<std::size_t> next_class(const admission& state) {
    if (state.policy.faults.serves_in_arrival_order) {
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
            state.skipped_starts.at(i) >= state.policy.max_skipped_starts;
        if (due && !state.policy.faults.starves_lower_classes) {
            return i;
        }
        first = first ? first : std::optional{i};
    }
    return first;
}

void update_skipped_starts(admission& state, std::size_t chosen) {
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        const bool waits = i != chosen && !state.queues.at(i).empty();
        state.skipped_starts.at(i) = waits ? state.skipped_starts.at(i) + 1 : 0;
    }
}

} // namespace apricotstile::upstream::internal
