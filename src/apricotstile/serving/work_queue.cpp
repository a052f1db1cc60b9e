// Ordering and admission of work.

#include <apricotstile/serving/work_queue.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// Shortest delay that a refused caller is asked to wait.
constexpr duration min_retry_after = std::chrono::milliseconds{20};

bool has_slot(const work_queue& queue, const offered_work& work) {
    if (!queue.open || queue.alone) {
        return false;
    }
    const work_queue_policy& policy = queue.policy;
    const std::uint32_t slots =
        queue.has_answered ? policy.slots
                           : std::min(policy.slots, policy.first_slots);
    return work.alone ? queue.running.empty() : queue.running.size() < slots;
}

/// How long until `starts` pieces of work may have started by both limits.
duration
wait_for_limits(const work_queue& queue, std::size_t starts, instant now) {
    return std::max(
        wait_for_starts(queue.limit, starts, now),
        wait_for_tokens(queue.cold, starts, now)
    );
}

bool has_capacity(
    const work_queue& queue, const offered_work& work, instant now
) {
    return has_slot(queue, work) &&
           wait_for_limits(queue, 1, now) == duration{0};
}

/// Whether work that isn't nested would miss its target even if it started now.
bool is_late(const offered_work& work, instant now) {
    return !work.nested && now + work.expected > work.target;
}

work_queue::queue_position
position_of(const work_queue& queue, const offered_work& work, instant now) {
    return {!work.nested, work.priority, is_late(work, now), queue.arrivals};
}

/// Whether work may be queued that is expected to start after `wait`.
bool may_wait(
    const work_queue& queue,
    const offered_work& work,
    duration wait,
    instant now
) {
    const work_queue_policy& policy = queue.policy;
    const duration end = wait + work.expected;
    if (work.nested) {
        return end <=
               scaled(work.deadline - now, policy.nested_deadline_fraction);
    }
    // Under a rate limit the wait would be long for a caller.
    if (work.may_be_nested && !queue.limit.per_second &&
        end <= scaled(
                   work.deadline - now, policy.maybe_nested_deadline_fraction
               )) {
        return true;
    }
    if (is_late(work, now)) {
        return wait <= scaled(work.deadline - now, policy.late_wait_fraction) &&
               end <= scaled(work.deadline - now, policy.target_fraction);
    }
    const instant latest_end = std::min(work.target, work.deadline);
    return end <= scaled(latest_end - now, policy.target_fraction);
}

/// The position before all work of the same priority.
work_queue::queue_position
front_of_priority(const work_queue::queue_position& position) {
    return {std::get<0>(position), std::get<1>(position), false, 0};
}

/// The first of the least urgent waiting work. The queue isn't empty.
auto least_urgent(work_queue& queue) {
    return queue.waiting.lower_bound(
        front_of_priority(queue.waiting.rbegin()->first)
    );
}

/// How long `work` would wait if it only got the starts that are reserved for
/// the least urgent work. Late work gets none of them.
duration
fair_wait(const work_queue& queue, const offered_work& work, instant now) {
    if (is_late(work, now)) {
        return duration::max();
    }
    const work_queue::queue_position first =
        front_of_priority(position_of(queue, work, now));
    const auto ahead = static_cast<duration::rep>(
        std::distance(queue.waiting.lower_bound(first), queue.waiting.end())
    );
    const auto interval =
        static_cast<duration::rep>(queue.policy.fair_start_interval);
    const auto slots = static_cast<duration::rep>(queue.policy.slots);
    const auto starts = static_cast<std::size_t>((ahead + 1) * interval);
    return std::max(
        work.expected * (ahead + 1) * interval / slots,
        wait_for_limits(queue, starts, now)
    );
}

/// A moment within the policy's spread, different for each refusal, and spread
/// evenly over any number of them.
duration next_spread(work_queue& queue) {
    constexpr double golden_ratio_fraction = 0.6180339887498949;
    const double position =
        static_cast<double>(++queue.limited) * golden_ratio_fraction;
    return scaled(queue.policy.retry_spread, position - std::floor(position));
}

/// When refused work should be offered again.
duration retry_delay(work_queue& queue, duration wait, instant now) {
    const bool is_limited = wait_for_limits(queue, 1, now) > duration{0};
    return std::max(
        min_retry_after, is_limited ? wait + next_spread(queue) : wait
    );
}

void refuse_busy(
    work_queue& queue,
    const offered_work& work,
    duration wait,
    instant now,
    std::vector<work_action>& actions
) {
    if (wait_for_tokens(queue.cold, 1, now) > duration{0}) {
        ++queue.cold.rejections;
    }
    actions.push_back(
        {work.id, work_decision::refuse_busy, retry_delay(queue, wait, now)}
    );
}

/// When the first of the running work is expected to end: the ends of all are
/// taken for independent, with the inverse of the expected remainder as rate.
duration first_end(const work_queue& queue, instant now) {
    double rate = 0;
    for (const auto& [id, one] : queue.running) {
        const work_estimate estimate{one.work.expected, one.work.spread, 0};
        const duration rest = remaining_work(estimate, now - one.started_at);
        rate += 1 / static_cast<double>(rest.count());
    }
    return rate == 0 ? duration{0}
                     : duration{static_cast<duration::rep>(1 / rate)};
}

void start(
    work_queue& queue,
    const offered_work& work,
    instant now,
    std::vector<work_action>& actions
) {
    count_start(queue.limit, now);
    count_token(queue.cold, now);
    queue.running.emplace(work.id, work_queue::running_work{work, now});
    if (work.alone) {
        queue.alone = work.id;
    }
    actions.push_back({work.id, work_decision::start, {}});
}

/// Starts waiting work while there is capacity; refuses work that is too late
/// by then.
void start_waiting(
    work_queue& queue, instant now, std::vector<work_action>& actions
) {
    while (!queue.waiting.empty()) {
        const bool is_fair_turn =
            (queue.starts + 1) % queue.policy.fair_start_interval == 0;
        const auto first =
            is_fair_turn ? least_urgent(queue) : queue.waiting.begin();
        const offered_work work = first->second.work;
        if (!has_capacity(queue, work, now)) {
            return;
        }
        queue.positions.erase(work.id);
        queue.waiting.erase(first);
        if (now + work.expected > work.deadline) {
            actions.push_back(
                {work.id, work_decision::refuse_expired, min_retry_after}
            );
            continue;
        }
        ++queue.starts;
        start(queue, work, now, actions);
    }
}

} // namespace

duration
expected_wait(const work_queue& queue, const offered_work& work, instant now) {
    if (queue.running.size() < queue.policy.slots && queue.waiting.empty()) {
        return wait_for_limits(queue, 1, now);
    }
    const work_queue::queue_position position = position_of(queue, work, now);
    duration ahead{0};
    std::size_t starts = 1;
    for (const auto& [other_position, one] : queue.waiting) {
        if (other_position > position) {
            break;
        }
        ahead += mean_work({one.work.expected, one.work.spread, 0});
        ++starts;
    }
    const auto slots = static_cast<duration::rep>(queue.policy.slots);
    return std::max(
        first_end(queue, now) + ahead / slots,
        wait_for_limits(queue, starts, now)
    );
}

std::vector<work_action>
offer(work_queue& queue, const offered_work& work, instant now) {
    std::vector<work_action> actions;
    if (!queue.open) {
        actions.push_back(
            {work.id, work_decision::refuse_closed, min_retry_after}
        );
        return actions;
    }
    if (has_capacity(queue, work, now) && queue.waiting.empty()) {
        start(queue, work, now, actions);
        return actions;
    }
    const duration wait =
        std::min(expected_wait(queue, work, now), fair_wait(queue, work, now));
    const bool is_held_back =
        work.can_go_elsewhere &&
        wait_for_tokens(queue.cold, queue.waiting.size() + 1, now) >
            duration{0};
    if (queue.waiting.size() >= queue.policy.max_waiting || is_held_back ||
        !may_wait(queue, work, wait, now)) {
        refuse_busy(queue, work, wait, now, actions);
        return actions;
    }
    const work_queue::queue_position position = position_of(queue, work, now);
    ++queue.arrivals;
    queue.positions.emplace(work.id, position);
    queue.waiting.emplace(position, work_queue::waiting_work{work, now});
    return actions;
}

std::vector<work_action> finished(work_queue& queue, work_id id, instant now) {
    std::vector<work_action> actions;
    queue.running.erase(id);
    if (queue.alone == id) {
        queue.alone.reset();
    }
    start_waiting(queue, now, actions);
    return actions;
}

std::vector<work_action> note_first_answer(work_queue& queue, instant now) {
    queue.has_answered = true;
    return start_due(queue, now);
}

std::vector<work_action> set_start_limit(
    work_queue& queue, std::optional<double> per_second, instant now
) {
    set_rate(queue.limit, per_second, now);
    return start_due(queue, now);
}

std::optional<instant> next_start(const work_queue& queue, instant now) {
    if (queue.waiting.empty() ||
        !has_slot(queue, queue.waiting.begin()->second.work)) {
        return std::nullopt;
    }
    const duration wait = wait_for_limits(queue, 1, now);
    // Without a wait, the work waits for something else.
    return wait > duration{0} ? std::optional{now + wait} : std::nullopt;
}

std::vector<work_action> start_due(work_queue& queue, instant now) {
    std::vector<work_action> actions;
    start_waiting(queue, now, actions);
    return actions;
}

std::vector<work_action> apply_cold_limit(work_queue& queue, instant now) {
    std::vector<work_action> actions;
    start_waiting(queue, now, actions);
    std::size_t starts = 0;
    for (auto next = queue.waiting.begin(); next != queue.waiting.end();) {
        const offered_work& work = next->second.work;
        const duration wait = wait_for_tokens(queue.cold, ++starts, now);
        if (!work.can_go_elsewhere || wait == duration{0}) {
            ++next;
            continue;
        }
        --starts;
        refuse_busy(queue, work, wait, now, actions);
        queue.positions.erase(work.id);
        next = queue.waiting.erase(next);
    }
    return actions;
}

double
usable_slots_while_cold(const work_queue& queue, duration mean, instant now) {
    const double slots = usable_slots(queue, mean);
    if (!is_cold(queue.cold, now)) {
        return slots;
    }
    const double seconds = std::chrono::duration<double>(mean).count();
    return std::min(
        {slots,
         queue.cold.policy->per_second * seconds,
         static_cast<double>(queue.policy.slots) - 1}
    );
}

double usable_slots(const work_queue& queue, duration mean) {
    const double slots = queue.policy.slots;
    if (!queue.limit.per_second) {
        return slots;
    }
    const double seconds = std::chrono::duration<double>(mean).count();
    return std::min(slots, *queue.limit.per_second * seconds);
}

bool withdraw(work_queue& queue, work_id id) {
    const auto position = queue.positions.find(id);
    if (position == queue.positions.end()) {
        return false;
    }
    queue.waiting.erase(position->second);
    queue.positions.erase(position);
    return true;
}

std::vector<work_action> refuse_waiting(work_queue& queue) {
    std::vector<work_action> actions;
    for (const auto& [position, one] : queue.waiting) {
        actions.push_back(
            {one.work.id, work_decision::refuse_closed, min_retry_after}
        );
    }
    queue.waiting.clear();
    queue.positions.clear();
    return actions;
}

std::vector<work_action> close(work_queue& queue) {
    queue.open = false;
    return refuse_waiting(queue);
}

} // namespace apricotstile::serving
