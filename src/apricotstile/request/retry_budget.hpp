// A daemon's allowance for retries, so that failures elsewhere are not
// answered by a multiple of the load.

#ifndef APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP
#define APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>

namespace apricotstile::request {

/// Counted in hundredths of a retry. Starts empty, so that over any time from
/// the start the sends are at most 1.1 times the first sends.
struct retry_budget {
    static constexpr std::uint32_t earned_by_first_send = 10;
    static constexpr std::uint32_t cost_of_retry = 100;
    /// What a quiet time may save up: 50 retries.
    static constexpr std::uint32_t most_saved = 5000;

    std::uint32_t saved{0};
};

/// Called for each first send.
inline void earn(retry_budget& budget) {
    budget.saved += retry_budget::earned_by_first_send;
    if (budget.saved > retry_budget::most_saved) {
        budget.saved = retry_budget::most_saved;
    }
}

/// Takes one retry off the budget; false when there is none.
[[nodiscard]] inline bool spend(retry_budget& budget) {
    if (budget.saved < retry_budget::cost_of_retry) {
        return false;
    }
    budget.saved -= retry_budget::cost_of_retry;
    return true;
}

} // namespace apricotstile::request

#endif
