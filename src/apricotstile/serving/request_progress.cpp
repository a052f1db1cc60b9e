// Outcome names and the state transitions of a request.

#include <apricotstile/serving/request_progress.hpp>

#include <algorithm>

namespace apricotstile::serving {

std::string_view name_of(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_executed:
        return "not_executed";
    case attempt_outcome::refused_busy:
        return "refused_busy";
    case attempt_outcome::refused_closed:
        return "refused_closed";
    case attempt_outcome::refused_not_owner:
        return "refused_not_owner";
    case attempt_outcome::refused_quarantined:
        return "refused_quarantined";
    case attempt_outcome::lost:
        return "lost";
    case attempt_outcome::timed_out:
        return "timed_out";
    case attempt_outcome::refused_region:
        return "refused_region";
    }
    return "unknown";
}

void begin_attempt(request_progress& request, host_id host) {
    if (std::find(
            request.tried_hosts.begin(), request.tried_hosts.end(), host
        ) == request.tried_hosts.end()) {
        request.tried_hosts.push_back(host);
    }
}

namespace internal {

namespace {

bool has_time(
    const request_progress& request, const retry_policy& policy, instant now
) {
    return now + policy.min_time_left < request.deadline;
}

/// Whether a request may wait for the next attempt while its key moves.
bool may_wait_for_key(
    const request_progress& request, const retry_policy& policy, instant now
) {
    const duration max_wait =
        scaled(request.deadline - request.arrived, policy.key_wait_fraction);
    const instant next_try = now + policy.key_move_retry_interval;
    return next_try < request.target && next_try < request.arrived + max_wait;
}

/// The step for a request that can't be retried.
next_step give_up(const request_progress& request) {
    return request.may_have_run ? next_step::fail : next_step::refuse;
}

} // namespace

} // namespace internal

bool may_try_another_instance(
    const request_progress& request, const retry_policy& policy, instant now
) {
    return request.idempotent && !request.keyed &&
           request.sent_attempts + 1 < request.max_instances &&
           internal::has_time(request, policy, now);
}

void note_unresponsive(request_progress& request) {
    ++request.sent_attempts;
    request.may_have_run = true;
}

namespace internal {

namespace {

wanted_step after_refusal(
    request_progress& request,
    const attempt_result& end,
    const retry_policy& policy,
    instant now
) {
    ++request.refusals;
    request.retry_after = std::max(request.retry_after, end.retry_after);
    if (end.outcome == attempt_outcome::refused_region) {
        request.retry_after =
            std::max(request.retry_after, policy.region_retry_after);
    }
    if (!has_time(request, policy, now)) {
        return {give_up(request)};
    }
    const bool key_is_moving =
        end.outcome == attempt_outcome::refused_not_owner ||
        end.outcome == attempt_outcome::refused_closed;
    if (request.keyed) {
        // A key that moves has an owner again soon; an overloaded owner stays
        // overloaded.
        if (key_is_moving && may_wait_for_key(request, policy, now)) {
            return {next_step::retry_later};
        }
        if (key_is_moving) {
            request.retry_after =
                std::max(request.retry_after, policy.key_move_retry_after);
        }
        return {give_up(request)};
    }
    if (request.refusals > policy.max_refusals) {
        return {give_up(request)};
    }
    return {next_step::retry_now};
}

wanted_step after_sending(
    request_progress& request,
    const attempt_result& end,
    const retry_policy& policy,
    instant now
) {
    const bool ran = end.outcome != attempt_outcome::not_executed;
    request.may_have_run = request.may_have_run || ran;
    const next_step last = end.outcome == attempt_outcome::answered
                               ? next_step::deliver
                               : give_up(request);
    // The only owner of the key would fail the request again.
    const bool same_instance =
        request.keyed && end.outcome == attempt_outcome::answered;
    const bool allowed = !same_instance &&
                         (request.idempotent || !request.may_have_run) &&
                         request.sent_attempts < request.max_instances &&
                         end.outcome != attempt_outcome::timed_out;
    if (!allowed || !has_time(request, policy, now)) {
        return {last};
    }
    return {next_step::retry_now, true, last};
}

} // namespace

wanted_step wanted_step_after(
    request_progress& request,
    const attempt_result& end,
    const retry_policy& policy,
    instant now
) {
    switch (end.outcome) {
    case attempt_outcome::refused_busy:
    case attempt_outcome::refused_closed:
    case attempt_outcome::refused_not_owner:
    case attempt_outcome::refused_region:
        return after_refusal(request, end, policy, now);
    case attempt_outcome::refused_quarantined:
        request.retry_after = std::max(request.retry_after, end.retry_after);
        return {internal::give_up(request)};
    case attempt_outcome::answered:
        if (!end.failed) {
            return {next_step::deliver};
        }
        break;
    case attempt_outcome::not_executed:
        request.retry_after = std::max(request.retry_after, end.retry_after);
        break;
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
        break;
    }
    ++request.sent_attempts;
    return after_sending(request, end, policy, now);
}

} // namespace internal

} // namespace apricotstile::serving
