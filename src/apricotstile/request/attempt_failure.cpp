// When a failed try is worth and safe another one.

#include <apricotstile/request/internal/attempt_failure.hpp>

namespace apricotstile::request::internal {

namespace {

/// Whether another instance, or the same one reached anew, may do better.
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

next_move after_not_owner(
    const ingress& state, const attempt& it, const failure& why, instant now
) {
    if (it.redirected) {
        return next_move::give_up;
    }
    if (why.responder_map > it.routed_by) {
        return why.responder_map > state.map ? next_move::await_map
                                             : next_move::follow_map;
    }
    // The host hasn't learned yet that it is the owner.
    return now + state.policy.owner_backoff < it.deadline ? next_move::back_off
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

next_move after_failure(
    ingress& state, const attempt& it, const failure& why, instant now
) {
    const ingress_faults& faults = state.policy.faults;
    if (it.sends >= state.policy.max_sends || now >= it.deadline) {
        return next_move::give_up;
    }
    if (why.refusal == refusal::not_owner && !why.may_have_run) {
        return after_not_owner(state, it, why, now);
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
