// State machine of callers' requests at their ingress daemon.

#include <apricotstile/request/ingress.hpp>

#include <apricotstile/request/internal/attempt_failure.hpp>

#include <algorithm>

namespace apricotstile::request {

namespace {

request_id new_id(ingress& state) {
    state.last_id = next(state.last_id);
    return state.last_id;
}

request_id new_stream(ingress& state) {
    constexpr std::uint64_t few_ids = 4;
    const request_id fresh = new_id(state);
    return state.policy.faults.reuses_stream_ids
               ? request_id{fresh.value % few_ids}
               : fresh;
}

instant wake_up_time(const attempt& pending) {
    return pending.state == attempt_state::backing_off
               ? std::min(pending.deadline, pending.resume_at)
               : pending.deadline;
}

void enter(
    ingress& state, request_id id, attempt& pending, attempt_state next_state
) {
    state.wake_ups.erase({wake_up_time(pending), id});
    pending.state = next_state;
    state.wake_ups.insert({wake_up_time(pending), id});
}

void count(ingress_counters& counters, outcome value) {
    switch (value) {
    case outcome::answered:
        ++counters.answered;
        break;
    case outcome::not_run:
        ++counters.not_run;
        break;
    case outcome::unknown:
        ++counters.unknown;
        break;
    }
}

void remove(ingress& state, request_id id) {
    const attempt& pending = state.attempts.at(id);
    state.wake_ups.erase({wake_up_time(pending), id});
    if (pending.state == attempt_state::in_flight) {
        state.streams.erase(pending.stream);
    }
    state.attempts.erase(id);
}

void answer(ingress& state, answer_caller reply, ingress_actions& actions) {
    count(state.counters, reply.outcome);
    remove(state, reply.id);
    actions.emplace_back(std::move(reply));
}

void give_up(
    ingress& state,
    request_id id,
    const failure& cause,
    ingress_actions& actions
) {
    const attempt& pending = state.attempts.at(id);
    answer_caller reply;
    reply.id = id;
    reply.refusal = cause.refusal;
    reply.ticket = cause.ticket;
    reply.retry_after = cause.retry_after > duration{0}
                            ? cause.retry_after
                            : state.policy.default_retry_after;
    const bool may_have_run =
        cause.may_have_run ||
        (pending.may_have_run && !state.policy.faults.forgets_earlier_sends);
    reply.outcome = may_have_run ? outcome::unknown : outcome::not_run;
    answer(state, std::move(reply), actions);
}

void reroute(ingress& state, request_id id, ingress_actions& actions) {
    attempt& pending = state.attempts.at(id);
    enter(state, id, pending, attempt_state::routing);
    actions.emplace_back(find_route{id, pending.host});
}

void await_map(
    ingress& state,
    request_id id,
    map_version wanted,
    instant now,
    ingress_actions& actions
) {
    attempt& pending = state.attempts.at(id);
    pending.redirected = true;
    pending.awaited_map = wanted;
    pending.journal.push_back(
        {now, journal_step::waits_for_map, pending.host, {}}
    );
    enter(state, id, pending, attempt_state::waiting_for_map);
    actions.emplace_back(fetch_map{wanted, pending.host});
}

void back_off(ingress& state, request_id id, instant now) {
    attempt& pending = state.attempts.at(id);
    pending.journal.push_back({now, journal_step::backs_off, pending.host, {}});
    state.wake_ups.erase({wake_up_time(pending), id});
    pending.resume_at = now + internal::owner_backoff_delay(state, pending);
    ++pending.owner_waits;
    pending.state = attempt_state::backing_off;
    state.wake_ups.insert({wake_up_time(pending), id});
}

/// Handles a send in flight that ended without an answer.
void fail(
    ingress& state,
    request_id id,
    const failure& cause,
    instant now,
    ingress_actions& actions
) {
    attempt& pending = state.attempts.at(id);
    pending.journal.push_back({now, cause.step, pending.host, cause.refusal});
    state.streams.erase(pending.stream);
    pending.may_have_run = pending.may_have_run || cause.may_have_run;
    enter(state, id, pending, attempt_state::routing);
    switch (internal::decide_after_failure(state, pending, cause, now)) {
    case internal::failure_action::retry:
        ++state.counters.retries;
        ++pending.retries;
        reroute(state, id, actions);
        break;
    case internal::failure_action::follow_map:
        ++state.counters.redirects;
        pending.redirected = true;
        reroute(state, id, actions);
        break;
    case internal::failure_action::await_map:
        ++state.counters.redirects;
        await_map(state, id, cause.responder_map, now, actions);
        break;
    case internal::failure_action::back_off:
        ++state.counters.owner_waits;
        back_off(state, id, now);
        break;
    case internal::failure_action::give_up:
        give_up(state, id, cause, actions);
        break;
    }
}

void abandon(
    ingress& state, request_id id, refusal cause, ingress_actions& actions
) {
    const attempt& pending = state.attempts.at(id);
    failure reason;
    reason.refusal = cause;
    reason.may_have_run = pending.state == attempt_state::in_flight;
    if (reason.may_have_run) {
        actions.emplace_back(cancel_stream{pending.stream, pending.host});
    }
    give_up(state, id, reason, actions);
}

void handle(
    ingress& state,
    const route_found& event,
    instant now,
    ingress_actions& actions
) {
    const auto found = state.attempts.find(event.id);
    if (found == state.attempts.end() ||
        found->second.state != attempt_state::routing) {
        return;
    }
    attempt& pending = found->second;
    const duration time_left = pending.deadline - now - event.link_latency;
    if (time_left <= duration{0}) {
        abandon(state, event.id, refusal::deadline_passed, actions);
        return;
    }
    if (pending.sends == 0) {
        ++state.counters.first_sends;
        add_credit(state.budget);
    }
    ++pending.sends;
    pending.stream = new_stream(state);
    pending.host = event.host;
    pending.routed_by = event.routed_by;
    pending.journal.push_back({now, journal_step::sent, pending.host, {}});
    enter(state, event.id, pending, attempt_state::in_flight);
    state.streams.emplace(pending.stream, event.id);
    actions.emplace_back(send_to_host{
        event.id, pending.stream, event.host, time_left, event.routed_by});
}

void handle(
    ingress& state,
    const no_route& event,
    instant /*now*/,
    ingress_actions& actions
) {
    const auto found = state.attempts.find(event.id);
    if (found == state.attempts.end() ||
        found->second.state != attempt_state::routing) {
        return;
    }
    failure cause;
    cause.refusal = event.refusal;
    cause.retry_after = event.retry_after;
    give_up(state, event.id, cause, actions);
}

void handle(
    ingress& state,
    const send_failed& event,
    instant now,
    ingress_actions& actions
) {
    const auto found = state.streams.find(event.stream);
    if (found != state.streams.end()) {
        failure cause;
        cause.step = journal_step::send_failed;
        cause.refusal = refusal::link_lost;
        fail(state, found->second, cause, now, actions);
    }
}

void handle(
    ingress& state,
    const link_lost& event,
    instant now,
    ingress_actions& actions
) {
    const auto found = state.streams.find(event.stream);
    if (found != state.streams.end()) {
        failure cause;
        cause.step = journal_step::link_lost;
        cause.refusal = refusal::link_lost;
        cause.may_have_run = true;
        fail(state, found->second, cause, now, actions);
    }
}

void handle(
    ingress& state,
    const response_arrived& event,
    instant now,
    ingress_actions& actions
) {
    const routed_response& response = event.response;
    const auto found = state.streams.find(response.id);
    if (found == state.streams.end()) {
        ++state.counters.late_or_duplicate;
        return;
    }
    const request_id id = found->second;
    if (state.attempts.at(id).host != event.from) {
        ++state.counters.misdirected;
        return;
    }
    if (response.outcome != outcome::answered) {
        fail(state, id, internal::to_failure(response), now, actions);
        return;
    }
    answer_caller reply;
    reply.id = id;
    reply.outcome = outcome::answered;
    reply.ticket = response.ticket;
    reply.response = response;
    answer(state, std::move(reply), actions);
}

void handle(
    ingress& state,
    const map_changed& event,
    instant /*now*/,
    ingress_actions& actions
) {
    state.map = std::max(state.map, event.version);
    std::vector<request_id> ready;
    for (const auto& [id, pending] : state.attempts) {
        if (pending.state == attempt_state::waiting_for_map &&
            pending.awaited_map <= state.map) {
            ready.push_back(id);
        }
    }
    // Ids increase, so that this is the order of arrival.
    std::sort(ready.begin(), ready.end());
    for (const request_id id : ready) {
        reroute(state, id, actions);
    }
}

void handle(
    ingress& state,
    const caller_gone& event,
    instant /*now*/,
    ingress_actions& actions
) {
    if (state.attempts.contains(event.id)) {
        abandon(state, event.id, refusal::cancelled, actions);
    }
}

void handle(
    ingress& state,
    const clock_ticked& /*event*/,
    instant now,
    ingress_actions& actions
) {
    while (!state.wake_ups.empty() && state.wake_ups.begin()->first <= now) {
        const request_id id = state.wake_ups.begin()->second;
        if (state.attempts.at(id).deadline <= now) {
            abandon(state, id, refusal::deadline_passed, actions);
        } else {
            reroute(state, id, actions);
        }
    }
}

} // namespace

arrival_result arrive(ingress& state, const arrival& request, instant now) {
    arrival_result result;
    result.id = new_id(state);
    attempt& pending = state.attempts[result.id];
    pending.idempotent = request.idempotent;
    pending.keyed = request.keyed;
    pending.deadline = request.deadline;
    pending.journal.push_back({now, journal_step::arrived, {}, {}});
    state.wake_ups.insert({pending.deadline, result.id});
    failure cause;
    if (state.stopping) {
        cause.refusal = refusal::draining;
    } else if (pending.deadline <= now) {
        cause.refusal = refusal::deadline_passed;
    } else if (state.attempts.size() > state.policy.max_requests) {
        cause.refusal = refusal::overloaded;
    }
    if (cause.refusal == refusal::none) {
        result.actions.emplace_back(find_route{result.id, {}});
    } else {
        give_up(state, result.id, cause, result.actions);
    }
    return result;
}

ingress_actions step(ingress& state, const ingress_event& event, instant now) {
    ingress_actions actions;
    std::visit(
        [&](const auto& one) {
            handle(state, one, now, actions);
        },
        event
    );
    return actions;
}

instant next_wake_up(const ingress& state) {
    return state.wake_ups.empty() ? instant::max()
                                  : state.wake_ups.begin()->first;
}

} // namespace apricotstile::request
