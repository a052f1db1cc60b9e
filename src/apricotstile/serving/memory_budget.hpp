// Bounds the bytes that a daemon holds for its callers, its peers and its
// instance: what is received in part, waits, or isn't read yet. Large bodies at
// once, or many callers that read large answers slowly, would otherwise use up
// the process's memory, which ends the process with all of its requests. There
// is one budget in a process, and whoever holds bytes has a reservation. What
// doesn't fit is refused before it runs.

#ifndef APRICOTSTILE_SERVING_MEMORY_BUDGET_HPP
#define APRICOTSTILE_SERVING_MEMORY_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <limits>

namespace apricotstile::serving {

struct memory_budget {
    /// What doesn't fit below it is refused before it runs.
    std::size_t limit{std::numeric_limits<std::size_t>::max()};
    /// The sum of all reservations. May exceed the limit: an answer may be
    /// larger than expected, and is delivered all the same up to the hard
    /// limit.
    std::size_t reserved{0};
    /// Messages that were refused, or given up, because they didn't fit.
    std::uint64_t refused{0};
};

/// The budget of a process that is ended when it uses more than `memory_bytes`.
[[nodiscard]] memory_budget make_memory_budget(std::size_t memory_bytes);

/// Whether a message that is to take `message_bytes` in all may hold `added`
/// bytes more. Small messages have a part of the budget to themselves, so that
/// large ones don't keep them out.
[[nodiscard]] bool
fits(const memory_budget& budget, std::size_t added, std::size_t message_bytes);

/// The same for a message that holds nothing yet.
[[nodiscard]] bool fits(const memory_budget& budget, std::size_t message_bytes);

/// How many bytes must be returned before the message fits.
[[nodiscard]] std::size_t missing_bytes(
    const memory_budget& budget, std::size_t added, std::size_t message_bytes
);

/// Whether `added` bytes more take the sum beyond the hard limit, above which
/// the process might be ended.
[[nodiscard]] bool
exceeds_hard_limit(const memory_budget& budget, std::size_t added);

} // namespace apricotstile::serving

#endif
