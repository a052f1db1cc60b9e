// What follows when one try of a request has failed.

#ifndef APRICOTSTILE_REQUEST_INTERNAL_ATTEMPT_FAILURE_HPP
#define APRICOTSTILE_REQUEST_INTERNAL_ATTEMPT_FAILURE_HPP

#include <apricotstile/request/ingress.hpp>

namespace apricotstile::request {

/// How one try ended without an answer.
struct failure {
    journal_step step{journal_step::refused};
    request::refusal refusal{request::refusal::none};
    bool may_have_run{false};
    duration retry_after{0};
    map_version responder_map;
    std::string ticket;
};

namespace internal {

enum class next_move : std::uint8_t {
    give_up,
    /// Route again, on the retry budget.
    retry,
    /// Route again by the newer map that is here already.
    follow_map,
    await_map,
    back_off
};

[[nodiscard]] failure to_failure(const routed_response& response);

/// How long the next wait for an owner that isn't ready takes.
[[nodiscard]] duration owner_wait(const ingress& state, const attempt& it);

/// Decides, and takes a retry off the budget with `retry`.
[[nodiscard]] next_move after_failure(
    ingress& state, const attempt& it, const failure& why, instant now
);

} // namespace internal

} // namespace apricotstile::request

#endif
