// One call as the load caller means to make it.

#ifndef APRICOTSTILE_STANDINS_CALLER_PLANNED_CALL_HPP
#define APRICOTSTILE_STANDINS_CALLER_PLANNED_CALL_HPP

#include <apricotstile/core/time.hpp>

#include <optional>
#include <string>

namespace apricotstile::standins {

struct planned_call {
    /// Unique in a demo; the same in every attempt.
    std::string name;
    std::string service;
    std::string key;
    std::string customer;
    /// A lookup (GET) or an invoice (POST), which is not idempotent.
    std::string method;
    /// Empty for lookups.
    std::string idempotency_key;
    std::string body;
    /// The ticket of the first attempt, repeated in every other; may be empty.
    std::string ticket;
    /// When to hang up after sending, if at all.
    std::optional<duration> hang_up_after;
};

[[nodiscard]] inline bool is_idempotent(const planned_call& call) {
    return call.idempotency_key.empty();
}

} // namespace apricotstile::standins

#endif
