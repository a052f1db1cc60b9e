// When a caller attempts a call again, as the callers' page asks.

#ifndef APRICOTSTILE_STANDINS_CALLER_RETRY_POLICY_HPP
#define APRICOTSTILE_STANDINS_CALLER_RETRY_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <optional>

namespace apricotstile::standins {

struct attempt;

struct retry_policy {
    std::uint32_t most_attempts{20};
    /// No attempt starts later than this after the call was due.
    duration give_up_after{std::chrono::seconds{8}};
    /// Doubled with each attempt, when no Retry-After asks for more.
    duration first_pause{std::chrono::milliseconds{25}};
    duration longest_pause{std::chrono::milliseconds{400}};
};

/// The pause before the next attempt with the same Idempotency-Key, or
/// nothing when the call ends with `made`.
[[nodiscard]] std::optional<duration>
pause_after(const retry_policy& policy, const attempt& made, instant due);

} // namespace apricotstile::standins

#endif
