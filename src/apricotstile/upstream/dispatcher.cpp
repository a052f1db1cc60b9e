// Takes a request from arrival to its response.

#include <apricotstile/upstream/dispatcher.hpp>

#include <utility>

namespace apricotstile::upstream {

namespace {

constexpr std::uint16_t first_server_error = 500;

using request::outcome;
using request::refusal;

request::keyed_request to_keyed_request(const dispatch_work& work) {
    request::keyed_request result;
    result.service = work.request.service;
    result.slice = work.slice;
    result.token = work.token;
    result.id = {work.request.customer, work.request.caller_key};
    result.content_hash = request::content_hash(work.request);
    result.ticket = request::parse_ticket(work.request.ticket);
    return result;
}

request::routed_response
refuse(outcome reported, refusal reason, duration retry_after) {
    request::routed_response response;
    response.outcome = reported;
    response.refusal = reason;
    response.retry_after = retry_after;
    return response;
}

request::routed_response response_of(const request::kept_answer& kept) {
    request::routed_response response;
    response.outcome = kept.outcome;
    response.refusal = kept.refusal;
    response.status = kept.status;
    response.content_type = kept.content_type;
    response.body = kept.body;
    return response;
}

request::kept_answer answer_to_store(const request::routed_response& response) {
    return {
        response.outcome,
        response.refusal,
        response.status,
        response.content_type,
        response.body};
}

void add_ticket(
    const dispatcher& state,
    const dispatch_work& work,
    request::routed_response& response,
    instant now
) {
    const request::slice_ref slice{work.request.service, work.slice};
    const auto new_ticket =
        request::issue_ticket(state.memory, slice, work.token, now);
    if (work.requires_owner && new_ticket) {
        response.ticket = to_text(*new_ticket);
    }
}

/// Responds and forgets the request without recording the response.
void respond_without_storing(
    dispatcher& state,
    const dispatch_work& work,
    request::routed_response response,
    instant now,
    dispatch_actions& actions
) {
    response.id = work.request.id;
    response.responder_map = state.map;
    add_ticket(state, work, response, now);
    const work_id id = work.id;
    const host_id to = work.ingress_host;
    state.work.erase(id);
    actions.emplace_back(respond{id, to, std::move(response)});
}

/// Responds and forgets the request. The response to a non-idempotent request
/// is recorded for retries with the same idempotency key.
void store_and_respond(
    dispatcher& state,
    work_id id,
    const request::routed_response& response,
    instant now,
    dispatch_actions& actions
) {
    const dispatch_work work = state.work.at(id);
    if (!work.request.idempotent) {
        finish(
            state.memory, to_keyed_request(work), answer_to_store(response), now
        );
    }
    respond_without_storing(state, work, response, now, actions);
}

void add_reports(
    const std::vector<crash_report>& reports, dispatch_actions& actions
) {
    for (const crash_report& report : reports) {
        actions.emplace_back(broadcast_report{report});
    }
}

offered_work to_offered_work(const dispatch_work& work) {
    return {work.id, work.request.priority, work.deadline, work.alone};
}

/// Checks quarantine and ownership again just before the call. Returns the
/// refusal, or nothing if the upstream may be called.
std::optional<request::routed_response>
check_before_call(dispatcher& state, const dispatch_work& work, instant now) {
    const quarantine_decision decision =
        decide(state.quarantine, work.identity, now);
    if (decision.action == quarantine_action::refuse) {
        return refuse(
            outcome::not_run, refusal::quarantined, decision.retry_after
        );
    }
    if (!state.still_owns(work, now)) {
        return refuse(outcome::not_run, refusal::lease_expired, duration{0});
    }
    return std::nullopt;
}

/// Calls the upstream for a request that admission has started. If it must not
/// run now, refuses it or offers it again to run alone, and returns the further
/// actions of admission.
admission_actions
start(dispatcher& state, work_id id, instant now, dispatch_actions& actions) {
    dispatch_work& work = state.work.at(id);
    const auto refused = check_before_call(state, work, now);
    if (refused) {
        store_and_respond(state, id, *refused, now, actions);
        return finished(state.admission, id, work_end::lost, now);
    }
    // Reports of crashes may have arrived while it was queued.
    const bool suspected =
        decide(state.quarantine, work.identity, now).action ==
        quarantine_action::run_alone;
    if (suspected && !work.alone) {
        work.alone = true;
        const offered_work again = to_offered_work(work);
        auto pending = finished(state.admission, id, work_end::lost, now);
        const auto follow_up = offer(state.admission, again, now);
        pending.insert(pending.end(), follow_up.begin(), follow_up.end());
        return pending;
    }
    work.called = true;
    actions.emplace_back(call_upstream{id});
    return {};
}

/// Carries out the actions of admission, including those that follow from them.
void apply_actions(
    dispatcher& state,
    admission_actions pending,
    instant now,
    dispatch_actions& actions
) {
    for (std::size_t i = 0; i < pending.size(); ++i) {
        const admission_action action = pending.at(i);
        if (const auto* started = std::get_if<start_work>(&action)) {
            const auto follow_up = start(state, started->id, now, actions);
            pending.insert(pending.end(), follow_up.begin(), follow_up.end());
        } else if (const auto* shed = std::get_if<shed_work>(&action)) {
            const auto response =
                refuse(outcome::not_run, shed->refusal, shed->retry_after);
            store_and_respond(state, shed->id, response, now, actions);
        } else if (const auto* stop = std::get_if<cancel_work>(&action)) {
            actions.emplace_back(cancel_call{stop->id});
        }
    }
}

/// Checks a non-idempotent request against earlier ones with its idempotency
/// key. Returns the response, or nothing if the request may run.
std::optional<request::routed_response> check_idempotency_key(
    dispatcher& state, const dispatch_work& work, instant now
) {
    if (work.request.idempotent) {
        return std::nullopt;
    }
    const request::keyed_request keyed = to_keyed_request(work);
    const bool bad_ticket = !work.request.ticket.empty() && !keyed.ticket;
    if (work.request.caller_key.value.empty() || bad_ticket ||
        !work.requires_owner) {
        return refuse(outcome::not_run, refusal::malformed, duration{0});
    }
    const request::begin_result begun = begin(state.memory, keyed, now);
    if (const auto* replay = std::get_if<request::replay_it>(&begun)) {
        return response_of(replay->answer);
    }
    if (const auto* refused = std::get_if<request::refuse_it>(&begun)) {
        return refuse(refused->outcome, refused->refusal, duration{0});
    }
    return std::nullopt;
}

work_end to_work_end(call_end end) {
    switch (end) {
    case call_end::answered:
        return work_end::answered;
    case call_end::not_run:
        return work_end::shed_by_upstream;
    case call_end::lost:
        return work_end::lost;
    case call_end::timed_out:
        return work_end::abandoned;
    }
    return work_end::lost;
}

request::routed_response to_response(const call_result& result) {
    switch (result.end) {
    case call_end::answered: {
        request::routed_response response;
        response.outcome = outcome::answered;
        response.status = result.status;
        response.content_type = result.content_type;
        response.body = result.body;
        return response;
    }
    case call_end::not_run:
        return refuse(outcome::not_run, refusal::upstream_refused, duration{0});
    case call_end::lost:
        return refuse(outcome::unknown, refusal::upstream_lost, duration{0});
    case call_end::timed_out:
        break;
    }
    return refuse(outcome::unknown, refusal::upstream_timed_out, duration{0});
}

request_label label_of(const dispatch_work& work) {
    return {
        work.request.service,
        work.request.customer,
        work.request.key,
        work.request.method,
        work.request.target};
}

} // namespace

dispatch_actions receive(dispatcher& state, dispatch_work work, instant now) {
    dispatch_actions actions;
    work.identity = identity_of(work.request);
    const quarantine_decision decision =
        decide(state.quarantine, work.identity, now);
    if (decision.action == quarantine_action::refuse) {
        const auto response = refuse(
            outcome::not_run, refusal::quarantined, decision.retry_after
        );
        respond_without_storing(state, work, response, now, actions);
        return actions;
    }
    if (const auto recorded = check_idempotency_key(state, work, now)) {
        respond_without_storing(state, work, *recorded, now, actions);
        return actions;
    }
    work.alone = decision.action == quarantine_action::run_alone;
    const offered_work offered = to_offered_work(work);
    state.work.emplace(offered.id, std::move(work));
    apply_actions(state, offer(state.admission, offered, now), now, actions);
    return actions;
}

dispatch_actions call_ended(
    dispatcher& state, work_id id, const call_result& result, instant now
) {
    dispatch_actions actions;
    const auto found = state.work.find(id);
    if (found == state.work.end() || !found->second.called) {
        return actions;
    }
    if (result.end == call_end::answered &&
        result.status < first_server_error) {
        const request_identity answered_id = found->second.identity;
        add_reports(completed(state.quarantine, answered_id, now), actions);
    }
    store_and_respond(state, id, to_response(result), now, actions);
    const work_end end = to_work_end(result.end);
    apply_actions(state, finished(state.admission, id, end, now), now, actions);
    return actions;
}

dispatch_actions crashed(dispatcher& state, instant now) {
    dispatch_actions actions;
    std::vector<in_flight_request> in_flight;
    std::vector<work_id> lost;
    for (const auto& [id, work] : state.work) {
        if (work.called) {
            in_flight.push_back({work.identity, label_of(work)});
            lost.push_back(id);
        }
    }
    add_reports(upstream_crashed(state.quarantine, in_flight, now), actions);
    upstream_crashed(state.admission);
    admission_actions pending;
    for (const work_id id : lost) {
        store_and_respond(state, id, to_response({}), now, actions);
        const auto follow_up =
            finished(state.admission, id, work_end::lost, now);
        pending.insert(pending.end(), follow_up.begin(), follow_up.end());
    }
    apply_actions(state, std::move(pending), now, actions);
    return actions;
}

dispatch_actions ready(dispatcher& state, instant now) {
    dispatch_actions actions;
    apply_actions(state, upstream_ready(state.admission, now), now, actions);
    return actions;
}

dispatch_actions cancel(dispatcher& state, work_id id, instant now) {
    dispatch_actions actions;
    apply_actions(state, cancel(state.admission, id, now), now, actions);
    return actions;
}

dispatch_actions tick(dispatcher& state, instant now) {
    dispatch_actions actions;
    apply_actions(state, start_next(state.admission, now), now, actions);
    return actions;
}

} // namespace apricotstile::upstream
