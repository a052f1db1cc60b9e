// A daemon's retry budget, which keeps retries from multiplying the load when
// other hosts fail.

#ifndef APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP
#define APRICOTSTILE_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>

namespace apricotstile::request {

/// Counted in hundredths of a retry. Starts empty, so that at any time since
/// the start the number of sends is at most 1.1 times that of first sends.
struct retry_budget {
    static constexpr std::uint32_t credit_per_first_send = 10;
    static constexpr std::uint32_t cost_of_retry = 100;
    /// Limit of the credit that can accumulate: 50 retries.
    static constexpr std::uint32_t max_credit = 5000;

    std::uint32_t credit{0};
};

/// Adds the credit of one first send.
inline void add_credit(retry_budget& budget) {
    budget.credit += retry_budget::credit_per_first_send;
    if (budget.credit > retry_budget::max_credit) {
        budget.credit = retry_budget::max_credit;
    }
}

/// Takes one retry off the budget; returns false if there is not enough.
[[nodiscard]] inline bool try_spend(retry_budget& budget) {
    if (budget.credit < retry_budget::cost_of_retry) {
        return false;
    }
    budget.credit -= retry_budget::cost_of_retry;
    return true;
}

} // namespace apricotstile::request

#endif
