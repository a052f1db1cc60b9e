// Admission control: starts, queues and sheds requests for the local upstream.

#include <apricotstile/upstream/admission.hpp>

#include <apricotstile/upstream/internal/admission_queue.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

using internal::index_of;

std::uint32_t in_use(const admission& state) {
    return static_cast<std::uint32_t>(
        state.running.size() + state.abandoned.size()
    );
}

bool has_room(const admission& state, instant now) {
    if (state.policy.faults.ignores_slots) {
        return true;
    }
    const std::uint32_t used = in_use(state);
    const std::uint32_t connections = used + state.unusable_connections;
    return used < allowed(state.limit, now) &&
           connections < state.policy.connections;
}

bool may_start(const admission& state, const offered_work& work, instant now) {
    if (state.paused || state.running_alone || !has_room(state, now)) {
        return false;
    }
    return !work.alone || in_use(state) == 0;
}

void start(
    admission& state,
    const offered_work& work,
    instant now,
    admission_actions& actions
) {
    state.running.emplace(
        work.id, running_work{work.priority, now, work.deadline}
    );
    state.running_alone = work.alone;
    ++state.counters.started.at(index_of(work.priority));
    actions.emplace_back(start_work{work.id});
}

void remove_expired_abandoned(admission& state, instant now) {
    std::erase_if(state.abandoned, [&](instant until) {
        return until <= now;
    });
}

request::refusal
refusal_for(const admission& state, const offered_work& work, instant now) {
    if (state.draining && !state.policy.faults.starts_while_draining) {
        return request::refusal::draining;
    }
    if (state.policy.faults.skips_deadline_check) {
        return request::refusal::none;
    }
    if (now >= work.deadline) {
        return request::refusal::deadline_passed;
    }
    if (state.queues.at(index_of(work.priority)).size() >=
        state.policy.max_queued) {
        return request::refusal::overloaded;
    }
    if (may_start(state, work, now)) {
        return request::refusal::none;
    }
    const duration wait =
        internal::expected_queue_time(state, work.priority, now);
    const bool in_time =
        wait <= internal::max_queue_time(state) &&
        now + wait + state.limit.mean_service_time <= work.deadline;
    return in_time ? request::refusal::none : request::refusal::overloaded;
}

void note_end(
    admission& state, const running_work& work, work_end end, instant now
) {
    switch (end) {
    case work_end::answered:
        note_served(state.limit, now - work.started, in_use(state), now);
        break;
    case work_end::shed_by_upstream:
        note_overload(state.limit, now);
        break;
    case work_end::lost:
        break;
    case work_end::abandoned:
        note_overload(state.limit, now);
        // The upstream is asked to stop and has one mean service time for it.
        state.abandoned.push_back(
            std::max(now, work.deadline) + state.limit.mean_service_time
        );
        break;
    }
}

} // namespace

admission make_admission(const admission_policy& policy, instant now) {
    admission state;
    state.policy = policy;
    state.limit = make_limit(policy.slots, policy.warm_up, now);
    return state;
}

admission_actions
offer(admission& state, const offered_work& work, instant now) {
    ++state.counters.offered.at(index_of(work.priority));
    remove_expired_abandoned(state, now);
    const request::refusal reason = refusal_for(state, work, now);
    if (reason != request::refusal::none) {
        ++state.counters.shed.at(index_of(work.priority));
        return {shed_work{work.id, reason, internal::max_queue_time(state)}};
    }
    state.queues.at(index_of(work.priority)).push_back({work, now});
    return start_next(state, now);
}

admission_actions
finished(admission& state, work_id id, work_end end, instant now) {
    const auto found = state.running.find(id);
    if (found == state.running.end()) {
        return {};
    }
    const running_work work = found->second;
    state.running.erase(found);
    // If `running_alone` was set, this was the only running request.
    state.running_alone = false;
    note_end(state, work, end, now);
    return start_next(state, now);
}

admission_actions start_next(admission& state, instant now) {
    admission_actions actions;
    remove_expired_abandoned(state, now);
    for (;;) {
        internal::shed_overdue(state, now, actions);
        const auto chosen = internal::next_class(state);
        if (!chosen) {
            break;
        }
        auto& queue = state.queues.at(*chosen);
        if (!may_start(state, queue.front().work, now)) {
            break;
        }
        const offered_work work = queue.front().work;
        queue.pop_front();
        internal::update_skipped_starts(state, *chosen);
        start(state, work, now, actions);
    }
    return actions;
}

admission_actions cancel(admission& state, work_id id, instant now) {
    if (state.running.contains(id)) {
        return {cancel_work{id}};
    }
    for (auto& queue : state.queues) {
        const auto found = std::find_if(
            queue.begin(),
            queue.end(),
            [&](const queued_work& waiting) {
                return waiting.work.id == id;
            }
        );
        if (found != queue.end()) {
            queue.erase(found);
            admission_actions actions = start_next(state, now);
            actions.emplace_back(shed_work{
                id, request::refusal::cancelled, duration{0}});
            return actions;
        }
    }
    return {};
}

void upstream_crashed(admission& state) {
    state.paused = true;
    state.abandoned.clear();
}

admission_actions upstream_ready(admission& state, instant now) {
    state.paused = false;
    restart_warm_up(state.limit, now);
    return start_next(state, now);
}

void start_drain(admission& state) {
    state.draining = true;
}

bool is_idle(const admission& state) {
    const bool none_wait = std::all_of(
        state.queues.begin(),
        state.queues.end(),
        [](const auto& queue) {
            return queue.empty();
        }
    );
    return none_wait && state.running.empty();
}

instant next_wake_up(const admission& state) {
    instant soonest = instant::max();
    for (const auto& queue : state.queues) {
        if (!queue.empty()) {
            const queued_work& front = queue.front();
            soonest = std::min(soonest, front.work.deadline);
            soonest = std::min(
                soonest, front.queued_at + internal::max_queue_time(state)
            );
        }
    }
    for (const instant until : state.abandoned) {
        soonest = std::min(soonest, until);
    }
    return soonest;
}

admission_snapshot describe(const admission& state, instant now) {
    admission_snapshot result;
    result.allowed = allowed(state.limit, now);
    result.running = static_cast<std::uint32_t>(state.running.size());
    result.abandoned = static_cast<std::uint32_t>(state.abandoned.size());
    for (std::size_t i = 0; i < request::work_class_count; ++i) {
        result.queued.at(i) = state.queues.at(i).size();
    }
    result.mean_service_time = state.limit.mean_service_time;
    result.draining = state.draining;
    result.counters = state.counters;
    return result;
}

} // namespace apricotstile::upstream
