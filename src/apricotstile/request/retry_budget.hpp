// A daemon's retry budget, which keeps retries from multiplying the load when
// other hosts fail.

#ifndef APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP
#define APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>

namespace apricotstile::request {

/// Counted in hundredths of a retry. Starts empty, so that at any time since
/// the start the number of sends is at most 1.1 times that of first sends.
struct retry_budget {
    static constexpr std::uint32_t earned_by_first_send = 10;
    static constexpr std::uint32_t cost_of_retry = 100;
    /// Limit of the credit that can accumulate: 50 retries.
    static constexpr std::uint32_t most_saved = 5000;

    std::uint32_t saved{0};
};

/// Adds the credit of one first send.
inline void earn(retry_budget& budget) {
    budget.saved += retry_budget::earned_by_first_send;
    if (budget.saved > retry_budget::most_saved) {
        budget.saved = retry_budget::most_saved;
    }
}

/// Takes one retry off the budget; returns false if there is not enough.
[[nodiscard]] inline bool spend(retry_budget& budget) {
    if (budget.saved < retry_budget::cost_of_retry) {
        return false;
    }
    budget.saved -= retry_budget::cost_of_retry;
    return true;
}

} // namespace apricotstile::request

#endif
