// Decides whether a failed send is retried: only if that is safe and may help.

#include <apricotstile/request/internal/attempt_failure.hpp>

namespace apricotstile::request::internal {

namespace {

/// Whether a retry at another instance, or over a new connection to the same
/// one, may succeed.
bool may_help(const attempt& it, refusal why) {
    switch (why) {
    case refusal::link_lost:
    case refusal::upstream_lost:
    case refusal::upstream_timed_out:
        return true;
    case refusal::overloaded:
    case refusal::draining:
    case refusal::lease_expired:
    case refusal::upstream_refused:
        return !it.keyed;
    default:
        return false;
    }
}

/// Whether the host refused because it doesn't own the key now. It then did no
/// work.
bool lacks_ownership(const attempt& it, const failure& why) {
    if (why.may_have_run) {
        return false;
    }
    return why.refusal == refusal::not_owner ||
           (why.refusal == refusal::lease_expired && it.keyed);
}

next_move after_not_owner(
    const ingress& state, const attempt& it, const failure& why, instant now
) {
    if (why.responder_map > it.routed_by) {
        if (it.redirected) {
            return next_move::give_up;
        }
        return why.responder_map > state.map ? next_move::await_map
                                             : next_move::follow_map;
    }
    const bool in_time = now + owner_wait(state, it) < it.deadline;
    return in_time && it.owner_waits < state.policy.max_owner_waits
               ? next_move::back_off
               : next_move::give_up;
}

} // namespace

failure to_failure(const routed_response& response) {
    failure why;
    why.refusal = response.refusal;
    why.may_have_run = response.outcome == outcome::unknown;
    why.retry_after = response.retry_after;
    why.responder_map = response.responder_map;
    why.ticket = response.ticket;
    return why;
}

duration owner_wait(const ingress& state, const attempt& it) {
    return state.policy.owner_backoff * (1U << it.owner_waits);
}

next_move after_failure(
    ingress& state, const attempt& it, const failure& why, instant now
) {
    const ingress_faults& faults = state.policy.faults;
    if (now >= it.deadline) {
        return next_move::give_up;
    }
    if (lacks_ownership(it, why)) {
        return after_not_owner(state, it, why, now);
    }
    if (it.retries >= state.policy.max_retries) {
        return next_move::give_up;
    }
    const bool safe = it.idempotent || !why.may_have_run ||
                      faults.retries_unknown_non_idempotent;
    if (!safe || !may_help(it, why.refusal)) {
        return next_move::give_up;
    }
    if (!spend(state.budget) && !faults.ignores_retry_budget) {
        ++state.counters.retries_over_budget;
        return next_move::give_up;
    }
    return next_move::retry;
}

} // namespace apricotstile::request::internal
