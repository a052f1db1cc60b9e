// The process also needs memory for itself, for what the kernel has received,
// and for copies of a part of a message while it is encoded or decoded.

#include <apricotstile/serving/memory_budget.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

/// The limit is the process's memory divided by this.
constexpr std::size_t budget_divisor = 2;

constexpr std::size_t small_bytes = 64U << 10U;

/// Only small messages may use the last part of the limit, which is the limit
/// divided by this.
constexpr std::size_t small_share_divisor = 8;

/// The hard limit exceeds the limit by the limit divided by this.
constexpr std::size_t hard_limit_divisor = 4;

std::size_t limit_for(const memory_budget& budget, std::size_t message_bytes) {
    return message_bytes <= small_bytes
               ? budget.limit
               : budget.limit - budget.limit / small_share_divisor;
}

} // namespace

memory_budget make_memory_budget(std::size_t memory_bytes) {
    memory_budget result;
    result.limit = memory_bytes / budget_divisor;
    return result;
}

bool fits(
    const memory_budget& budget, std::size_t added, std::size_t message_bytes
) {
    return missing_bytes(budget, added, message_bytes) == 0;
}

bool fits(const memory_budget& budget, std::size_t message_bytes) {
    return fits(budget, message_bytes, message_bytes);
}

std::size_t missing_bytes(
    const memory_budget& budget, std::size_t added, std::size_t message_bytes
) {
    const std::size_t limit = limit_for(budget, message_bytes);
    const std::size_t free = limit - std::min(limit, budget.reserved);
    return added - std::min(added, free);
}

bool exceeds_hard_limit(const memory_budget& budget, std::size_t added) {
    const std::size_t extra = budget.limit / hard_limit_divisor;
    const std::size_t most =
        budget.limit > unlimited - extra ? unlimited : budget.limit + extra;
    return added > most || budget.reserved > most - added;
}

} // namespace apricotstile::serving
