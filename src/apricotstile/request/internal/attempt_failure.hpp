// Decides what follows after one send of a request has failed.

#ifndef APRICOTSTILE_REQUEST_INTERNAL_ATTEMPT_FAILURE_HPP
#define APRICOTSTILE_REQUEST_INTERNAL_ATTEMPT_FAILURE_HPP

#include <apricotstile/request/ingress.hpp>

namespace apricotstile::request {

/// Why one send ended without an answer.
struct failure {
    journal_step step{journal_step::refused};
    request::refusal refusal{request::refusal::none};
    bool may_have_run{false};
    duration retry_after{0};
    map_version responder_map;
    std::string ticket;
};

namespace internal {

enum class failure_action : std::uint8_t {
    give_up,
    /// Route again, charged to the retry budget.
    retry,
    /// Route again by a newer map that this daemon has already.
    follow_map,
    await_map,
    back_off
};

[[nodiscard]] failure to_failure(const routed_response& response);

/// Duration of the next wait for an owner that isn't ready.
[[nodiscard]] duration
owner_backoff_delay(const ingress& state, const attempt& pending);

/// Decides what to do; for `retry` it also takes one retry off the budget.
[[nodiscard]] failure_action decide_after_failure(
    ingress& state, const attempt& pending, const failure& cause, instant now
);

} // namespace internal

} // namespace apricotstile::request

#endif
