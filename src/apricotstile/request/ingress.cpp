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

instant wake_up_of(const attempt& it) {
    return it.state == attempt_state::backing_off
               ? std::min(it.deadline, it.resume_at)
               : it.deadline;
}

void enter(
    ingress& state, request_id id, attempt& it, attempt_state next_state
) {
    state.wake_ups.erase({wake_up_of(it), id});
    it.state = next_state;
    state.wake_ups.insert({wake_up_of(it), id});
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
    const attempt& it = state.attempts.at(id);
    state.wake_ups.erase({wake_up_of(it), id});
    if (it.state == attempt_state::in_flight) {
        state.streams.erase(it.stream);
    }
    state.attempts.erase(id);
}

void answer(ingress& state, answer_caller what, ingress_actions& actions) {
    count(state.counters, what.outcome);
    remove(state, what.id);
    actions.emplace_back(std::move(what));
}

void give_up(
    ingress& state, request_id id, const failure& why, ingress_actions& actions
) {
    const attempt& it = state.attempts.at(id);
    answer_caller what;
    what.id = id;
    what.refusal = why.refusal;
    what.ticket = why.ticket;
    what.retry_after = why.retry_after > duration{0}
                           ? why.retry_after
                           : state.policy.default_retry_after;
    const bool may_have_run =
        why.may_have_run ||
        (it.may_have_run && !state.policy.faults.forgets_earlier_sends);
    what.outcome = may_have_run ? outcome::unknown : outcome::not_run;
    answer(state, std::move(what), actions);
}

void route_again(ingress& state, request_id id, ingress_actions& actions) {
    attempt& it = state.attempts.at(id);
    enter(state, id, it, attempt_state::routing);
    actions.emplace_back(find_route{id, it.host});
}

void await_map(
    ingress& state,
    request_id id,
    map_version wanted,
    instant now,
    ingress_actions& actions
) {
    attempt& it = state.attempts.at(id);
    it.redirected = true;
    it.awaited_map = wanted;
    it.journal.push_back({now, journal_step::waits_for_map, it.host, {}});
    enter(state, id, it, attempt_state::waiting_for_map);
    actions.emplace_back(fetch_map{wanted, it.host});
}

void back_off(ingress& state, request_id id, instant now) {
    attempt& it = state.attempts.at(id);
    it.journal.push_back({now, journal_step::backs_off, it.host, {}});
    state.wake_ups.erase({wake_up_of(it), id});
    it.resume_at = now + internal::owner_wait(state, it);
    ++it.owner_waits;
    it.state = attempt_state::backing_off;
    state.wake_ups.insert({wake_up_of(it), id});
}

/// Handles a send in flight that ended without an answer.
void fail(
    ingress& state,
    request_id id,
    const failure& why,
    instant now,
    ingress_actions& actions
) {
    attempt& it = state.attempts.at(id);
    it.journal.push_back({now, why.step, it.host, why.refusal});
    state.streams.erase(it.stream);
    it.may_have_run = it.may_have_run || why.may_have_run;
    enter(state, id, it, attempt_state::routing);
    switch (internal::after_failure(state, it, why, now)) {
    case internal::next_move::retry:
        ++state.counters.retries;
        ++it.retries;
        route_again(state, id, actions);
        break;
    case internal::next_move::follow_map:
        ++state.counters.redirects;
        it.redirected = true;
        route_again(state, id, actions);
        break;
    case internal::next_move::await_map:
        ++state.counters.redirects;
        await_map(state, id, why.responder_map, now, actions);
        break;
    case internal::next_move::back_off:
        ++state.counters.owner_waits;
        back_off(state, id, now);
        break;
    case internal::next_move::give_up:
        give_up(state, id, why, actions);
        break;
    }
}

void abandon(
    ingress& state, request_id id, refusal why, ingress_actions& actions
) {
    const attempt& it = state.attempts.at(id);
    failure reason;
    reason.refusal = why;
    reason.may_have_run = it.state == attempt_state::in_flight;
    if (reason.may_have_run) {
        actions.emplace_back(cancel_stream{it.stream, it.host});
    }
    give_up(state, id, reason, actions);
}

void on(
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
    attempt& it = found->second;
    const duration time_left = it.deadline - now - event.transit;
    if (time_left <= duration{0}) {
        abandon(state, event.id, refusal::deadline_passed, actions);
        return;
    }
    if (it.sends == 0) {
        ++state.counters.first_sends;
        earn(state.budget);
    }
    ++it.sends;
    it.stream = new_stream(state);
    it.host = event.host;
    it.routed_by = event.routed_by;
    it.journal.push_back({now, journal_step::sent, it.host, {}});
    enter(state, event.id, it, attempt_state::in_flight);
    state.streams.emplace(it.stream, event.id);
    actions.emplace_back(send_to_host{
        event.id, it.stream, event.host, time_left, event.routed_by});
}

void on(
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
    failure why;
    why.refusal = event.refusal;
    why.retry_after = event.retry_after;
    give_up(state, event.id, why, actions);
}

void on(
    ingress& state,
    const send_failed& event,
    instant now,
    ingress_actions& actions
) {
    const auto found = state.streams.find(event.stream);
    if (found != state.streams.end()) {
        failure why;
        why.step = journal_step::send_failed;
        why.refusal = refusal::link_lost;
        fail(state, found->second, why, now, actions);
    }
}

void on(
    ingress& state,
    const link_lost& event,
    instant now,
    ingress_actions& actions
) {
    const auto found = state.streams.find(event.stream);
    if (found != state.streams.end()) {
        failure why;
        why.step = journal_step::link_lost;
        why.refusal = refusal::link_lost;
        why.may_have_run = true;
        fail(state, found->second, why, now, actions);
    }
}

void on(
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
    answer_caller what;
    what.id = id;
    what.outcome = outcome::answered;
    what.ticket = response.ticket;
    what.response = response;
    answer(state, std::move(what), actions);
}

void on(
    ingress& state,
    const map_changed& event,
    instant /*now*/,
    ingress_actions& actions
) {
    state.map = std::max(state.map, event.version);
    std::vector<request_id> ready;
    for (const auto& [id, it] : state.attempts) {
        if (it.state == attempt_state::waiting_for_map &&
            it.awaited_map <= state.map) {
            ready.push_back(id);
        }
    }
    // Ids increase, so that this is the order of arrival.
    std::sort(ready.begin(), ready.end());
    for (const request_id id : ready) {
        route_again(state, id, actions);
    }
}

void on(
    ingress& state,
    const caller_gone& event,
    instant /*now*/,
    ingress_actions& actions
) {
    if (state.attempts.contains(event.id)) {
        abandon(state, event.id, refusal::cancelled, actions);
    }
}

void on(
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
            route_again(state, id, actions);
        }
    }
}

} // namespace

arrival_result arrive(ingress& state, const arrival& request, instant now) {
    arrival_result result;
    result.id = new_id(state);
    attempt& it = state.attempts[result.id];
    it.idempotent = request.idempotent;
    it.keyed = request.keyed;
    it.deadline = request.deadline;
    it.journal.push_back({now, journal_step::arrived, {}, {}});
    state.wake_ups.insert({it.deadline, result.id});
    failure why;
    if (state.stopping) {
        why.refusal = refusal::draining;
    } else if (it.deadline <= now) {
        why.refusal = refusal::deadline_passed;
    } else if (state.attempts.size() > state.policy.max_requests) {
        why.refusal = refusal::overloaded;
    }
    if (why.refusal == refusal::none) {
        result.actions.emplace_back(find_route{result.id, {}});
    } else {
        give_up(state, result.id, why, result.actions);
    }
    return result;
}

ingress_actions step(ingress& state, const ingress_event& event, instant now) {
    ingress_actions actions;
    std::visit(
        [&](const auto& one) {
            on(state, one, now, actions);
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
