// Attempts to have a request served.

#include <apricotstile/edge/internal/pending_request.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace apricotstile::edge {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t status_bad_gateway = 502;

constexpr std::uint16_t status_unavailable = 503;

constexpr std::uint16_t status_gateway_timeout = 504;

constexpr std::uint16_t first_server_error = 500;

std::string host_text(host_id host) {
    return host == host_id{} ? "none" : peer::format_for_log(host);
}

} // namespace

peer::routed_request
request_router::make_routed_request(const pending_request& request) const {
    const instant now = boot_clock::now();
    peer::routed_request result;
    result.service_hash = name_hash(request.service.value);
    result.route_hash = name_hash(request.route->name);
    result.method = request.received.method;
    result.target = request.received.target;
    for (const http::header& one : request.received.headers) {
        const bool is_replaced =
            http::same_name(
                one.name, this->dependencies.names.remaining_deadline
            ) ||
            http::same_name(
                one.name, this->dependencies.names.caller_service
            ) ||
            http::same_name(
                one.name, this->dependencies.names.expected_instance
            );
        if (!is_replaced) {
            result.headers.push_back(one);
        }
    }
    result.body = request.received.body;
    result.key = request.key;
    result.priority = request.route->priority;
    result.time_to_target =
        request.first_attempt + request.route->target_latency - now;
    result.time_to_deadline = request.progress.deadline - now;
    return result;
}

void request_router::start_attempt(pending_request& request) {
    if (this->refuses_unsent && !request.progress.may_have_run) {
        this->perform_step(request, serving::next_step::refuse, {});
        return;
    }
    const caller_id caller = request.caller;
    this->last_attempt = next(this->last_attempt);
    const attempt_id attempt = this->last_attempt;
    if (const auto left =
            this->dependencies.quarantine_left(request.received)) {
        request.attempt = {attempt, host_id{}, {}};
        peer::routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_quarantined;
        refused.retry_after = *left;
        this->handle_attempt_end(
            caller, attempt, host_id{}, std::move(refused)
        );
        return;
    }
    const std::optional<host_id> host = this->choose_host(request);
    request.attempt = {attempt, host.value_or(host_id{}), {}};
    if (!host && request.key &&
        this->is_evacuated_everywhere(request.service)) {
        // Waiting for the key to move would be in vain.
        request.attempt.reset();
        request.progress.retry_after = std::max(
            request.progress.retry_after,
            this->retry_policy.key_move_retry_after
        );
        this->perform_step(
            request,
            request.progress.may_have_run ? serving::next_step::fail
                                          : serving::next_step::refuse,
            {}
        );
        return;
    }
    if (!host) {
        peer::routed_response none;
        none.outcome = request.key ? serving::attempt_outcome::refused_not_owner
                                   : serving::attempt_outcome::refused_closed;
        if (request.region_excluded) {
            none.outcome = serving::attempt_outcome::refused_region;
        }
        request.progress.refusals = this->retry_policy.max_refusals;
        this->handle_attempt_end(caller, attempt, host_id{}, std::move(none));
        return;
    }
    serving::begin_attempt(request.progress, *host);
    ++this->views[*host].in_flight;
    std::function<void()> cancel = this->dependencies.forward_request(
        *host,
        this->make_routed_request(request),
        [this, caller, attempt, host = *host](peer::routed_response&& response
        ) {
            this->handle_attempt_end(
                caller, attempt, host, std::move(response)
            );
        }
    );
    // The attempt may already have ended, and the request with it; the next one
    // of the connection may have begun.
    const auto found = this->requests.find(caller);
    if (found != this->requests.end() && found->second->attempt &&
        found->second->attempt->id == attempt) {
        found->second->attempt->cancel = std::move(cancel);
    }
}

void request_router::note_attempt_end(
    host_id host, const peer::routed_response& response
) {
    if (host == host_id{}) {
        return;
    }
    const instant now = boot_clock::now();
    serving::instance_view& view = this->views[host];
    serving::note_end(view);
    switch (response.outcome) {
    case serving::attempt_outcome::answered:
        serving::note_answer(view);
        this->note_leaving(host, response);
        break;
    case serving::attempt_outcome::not_executed:
    case serving::attempt_outcome::refused_busy:
        serving::note_refusal(
            view, this->choice_policy, response.retry_after, now
        );
        break;
    case serving::attempt_outcome::refused_closed:
    case serving::attempt_outcome::lost:
    case serving::attempt_outcome::timed_out:
        serving::note_loss(view, this->choice_policy, now);
        break;
    case serving::attempt_outcome::refused_not_owner:
    case serving::attempt_outcome::refused_quarantined:
    case serving::attempt_outcome::refused_region:
        break;
    }
}

void request_router::handle_attempt_end(
    caller_id caller,
    attempt_id attempt,
    host_id host,
    peer::routed_response&& response
) {
    // Of a daemon of an earlier release, which passes any status on.
    if (response.outcome == serving::attempt_outcome::answered &&
        !http::is_final_status(response.status)) {
        response = peer::unanswered_response(serving::attempt_outcome::lost);
    }
    this->note_attempt_end(host, response);
    const auto found = this->requests.find(caller);
    if (found == this->requests.end()) {
        return;
    }
    pending_request& request = *found->second;
    const auto is_ended = [&](const std::optional<attempt_in_progress>& one) {
        return one && one->id == attempt;
    };
    const bool was_unresponsive = is_ended(request.unresponsive_attempt);
    if (!was_unresponsive && !is_ended(request.attempt)) {
        return;
    }
    request.attempt_trace += fmt::format(
        "{}{}:{}",
        request.attempt_trace.empty() ? "" : ",",
        host_text(host),
        serving::name_of(response.outcome)
    );
    if (was_unresponsive) {
        request.unresponsive_attempt.reset();
        this->handle_unresponsive_attempt_end(request, std::move(response));
        return;
    }
    request.attempt.reset();
    serving::attempt_result end;
    end.outcome = response.outcome;
    end.host = host;
    end.failed = response.status >= first_server_error;
    end.retry_after = response.retry_after;
    const serving::next_step step = serving::next_step_after(
        request.progress,
        end,
        this->retry_policy,
        boot_clock::now(),
        [&] {
            return this->may_retry(request);
        }
    );
    const bool gives_up =
        step == serving::next_step::refuse || step == serving::next_step::fail;
    if (gives_up && request.unresponsive_attempt) {
        return;
    }
    this->perform_step(request, step, std::move(response));
}

/// The request has been sent to another instance too; it goes on there unless
/// this one has answered after all.
void request_router::handle_unresponsive_attempt_end(
    pending_request& request, peer::routed_response&& response
) {
    if (response.outcome == serving::attempt_outcome::answered) {
        this->perform_step(
            request, serving::next_step::deliver, std::move(response)
        );
    } else if (!request.attempt) {
        this->perform_step(
            request, serving::next_step::fail, std::move(response)
        );
    }
}

bool request_router::may_retry(const pending_request& request) {
    const bool allowed = serving::take_retry(
        this->budgets[request.service],
        this->dependencies.retry_budget,
        this->dependencies.known->entries.size(),
        boot_clock::now()
    );
    this->counted.retries += allowed ? 1 : 0;
    return allowed;
}

void request_router::perform_step(
    pending_request& request,
    serving::next_step step,
    peer::routed_response&& response
) {
    const caller_id caller = request.caller;
    switch (step) {
    case serving::next_step::deliver:
        this->cancel_attempts(request);
        this->deliver(request, std::move(response));
        break;
    case serving::next_step::retry_now:
        this->start_attempt(request);
        break;
    case serving::next_step::retry_later:
        this->dependencies.report_stale_map(request.service);
        request.progress.tried_hosts.clear();
        request.retry_timer = this->timers.after(
            this->retry_policy.key_move_retry_interval,
            [this, caller] {
                const auto found = this->requests.find(caller);
                if (found != this->requests.end()) {
                    this->start_attempt(*found->second);
                }
            }
        );
        break;
    case serving::next_step::refuse:
        this->answer_locally(
            request,
            status_unavailable,
            response.outcome == serving::attempt_outcome::refused_region
                ? "region_not_allowed"
                : "not_run",
            request.progress.retry_after
        );
        break;
    case serving::next_step::fail:
        this->answer_locally(
            request,
            response.outcome == serving::attempt_outcome::timed_out
                ? status_gateway_timeout
                : status_bad_gateway,
            "outcome_unknown",
            duration{0}
        );
        break;
    }
}

/// Cancels all attempts in progress; late answers to them are ignored. Returns
/// whether there were any.
bool request_router::cancel_attempts(pending_request& request) {
    const bool any = request.attempt || request.unresponsive_attempt;
    for (std::optional<attempt_in_progress>* const one :
         {&request.attempt, &request.unresponsive_attempt}) {
        if (*one) {
            (*one)->cancel();
            serving::note_end(this->views[(*one)->host]);
            one->reset();
        }
    }
    return any;
}

void request_router::handle_deadline(caller_id caller) {
    const auto found = this->requests.find(caller);
    if (found == this->requests.end()) {
        return;
    }
    pending_request& request = *found->second;
    if (request.attempt) {
        serving::note_loss(
            this->views[request.attempt->host],
            this->choice_policy,
            boot_clock::now()
        );
    }
    const bool in_progress = this->cancel_attempts(request);
    const bool may_have_run = in_progress || request.progress.may_have_run;
    this->answer_locally(
        request,
        may_have_run ? status_gateway_timeout : status_unavailable,
        "deadline",
        duration{0}
    );
}

void request_router::handle_unresponsive_peer(host_id host) {
    std::vector<caller_id> stuck;
    for (const auto& [caller, request] : this->requests) {
        if (request->attempt && request->attempt->host == host) {
            stuck.push_back(caller);
        }
    }
    for (const caller_id caller : stuck) {
        const auto found = this->requests.find(caller);
        if (found != this->requests.end()) {
            this->try_another_instance(*found->second);
        }
    }
}

/// Sends a request whose host is unresponsive to another instance too, if there
/// is one and the retry budget allows it. The first answer counts.
void request_router::try_another_instance(pending_request& request) {
    const instant now = boot_clock::now();
    if (request.unresponsive_attempt ||
        !serving::may_try_another_instance(
            request.progress, this->retry_policy, now
        ) ||
        !this->choose_host(request) || !this->may_retry(request)) {
        return;
    }
    const host_id host = request.attempt->host;
    serving::note_loss(this->views[host], this->choice_policy, now);
    request.attempt_trace += fmt::format(
        "{}{}:silent", request.attempt_trace.empty() ? "" : ",", host_text(host)
    );
    request.unresponsive_attempt = std::exchange(request.attempt, {});
    serving::note_unresponsive(request.progress);
    this->start_attempt(request);
}

} // namespace apricotstile::edge
