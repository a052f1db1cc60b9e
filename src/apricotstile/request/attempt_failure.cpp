// Decides whether a failed send is retried: only if that is safe and may help.

#include <apricotstile/request/internal/attempt_failure.hpp>

namespace apricotstile::request::internal {

namespace {

/// Whether a retry at another instance, or over a new connection to the same
/// one, may succeed.
bool retry_may_help(const attempt& pending, refusal cause) {
    switch (cause) {
    case refusal::link_lost:
    case refusal::upstream_lost:
    case refusal::upstream_timed_out:
        return true;
    case refusal::overloaded:
    case refusal::draining:
    case refusal::lease_expired:
    case refusal::upstream_refused:
        return !pending.keyed;
    default:
        return false;
    }
}

/// Whether the host refused because it doesn't own the key now. It then did no
/// work.
bool refused_as_non_owner(const attempt& pending, const failure& cause) {
    if (cause.may_have_run) {
        return false;
    }
    return cause.refusal == refusal::not_owner ||
           (cause.refusal == refusal::lease_expired && pending.keyed);
}

failure_action decide_after_not_owner(
    const ingress& state,
    const attempt& pending,
    const failure& cause,
    instant now
) {
    if (cause.responder_map > pending.routed_by) {
        if (pending.redirected) {
            return failure_action::give_up;
        }
        return cause.responder_map > state.map ? failure_action::await_map
                                               : failure_action::follow_map;
    }
    const bool in_time =
        now + owner_backoff_delay(state, pending) < pending.deadline;
    return in_time && pending.owner_waits < state.policy.max_owner_waits
               ? failure_action::back_off
               : failure_action::give_up;
}

} // namespace

failure to_failure(const routed_response& response) {
    failure cause;
    cause.refusal = response.refusal;
    cause.may_have_run = response.outcome == outcome::unknown;
    cause.retry_after = response.retry_after;
    cause.responder_map = response.responder_map;
    cause.ticket = response.ticket;
    return cause;
}

duration owner_backoff_delay(const ingress& state, const attempt& pending) {
    return state.policy.owner_backoff * (1U << pending.owner_waits);
}

failure_action decide_after_failure(
    ingress& state, const attempt& pending, const failure& cause, instant now
) {
    const ingress_faults& faults = state.policy.faults;
    if (now >= pending.deadline) {
        return failure_action::give_up;
    }
    if (refused_as_non_owner(pending, cause)) {
        return decide_after_not_owner(state, pending, cause, now);
    }
    if (pending.retries >= state.policy.max_retries) {
        return failure_action::give_up;
    }
    const bool safe = pending.idempotent || !cause.may_have_run ||
                      faults.retries_unknown_non_idempotent;
    if (!safe || !retry_may_help(pending, cause.refusal)) {
        return failure_action::give_up;
    }
    if (!try_spend(state.budget) && !faults.ignores_retry_budget) {
        ++state.counters.retries_over_budget;
        return failure_action::give_up;
    }
    return failure_action::retry;
}

} // namespace apricotstile::request::internal
