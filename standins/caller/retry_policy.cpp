// Decides on retries.

#include <standins/caller/retry_policy.hpp>

#include <standins/caller/attempt.hpp>

#include <algorithm>

namespace apricotstile::standins {

namespace {

bool is_final_refusal(const std::string& refusal) {
    return refusal == "malformed" || refusal == "unknown_service" ||
           refusal == "unknown_customer" || refusal == "not_allowed_by_plan" ||
           refusal == "key_reused_with_other_body" ||
           refusal == "outcome_forgotten" || refusal == "quarantined";
}

bool ends_the_call(const attempt& made) {
    switch (made.result) {
    case attempt_result::answered:
    case attempt_result::hung_up:
    case attempt_result::malformed:
        return true;
    default:
        return is_final_refusal(made.refusal);
    }
}

} // namespace

std::optional<duration>
pause_after(const retry_policy& policy, const attempt& made, instant due) {
    if (ends_the_call(made) || made.number >= policy.most_attempts) {
        return std::nullopt;
    }
    duration pause = policy.first_pause;
    for (std::uint32_t count = 1; count < made.number; ++count) {
        pause = std::min(2 * pause, policy.longest_pause);
    }
    pause = std::max(pause, made.retry_after);
    if (made.done + pause > due + policy.give_up_after) {
        return std::nullopt;
    }
    return pause;
}

} // namespace apricotstile::standins
