// How many repeats this daemon may send to a service. The daemons' shares add
// up to no more than the whole system's budget without any message: each may
// repeat a part of its own requests, and an equal part of the fixed extra.

#ifndef APRICOTSTILE_SERVING_RETRY_BUDGET_HPP
#define APRICOTSTILE_SERVING_RETRY_BUDGET_HPP

#include <apricotstile/core/time.hpp>

#include <array>
#include <cstdint>

namespace apricotstile::serving {

struct retry_budget_policy {
    /// Repeats for each request.
    double ratio{0.1};
    /// Repeats beyond that in a window, of all daemons together.
    double extra{30};
    duration window{std::chrono::seconds{10}};
};

/// The counts of one service.
struct retry_budget {
    static constexpr std::size_t bucket_count = 10;

    struct counts {
        std::int64_t bucket{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    /// The last parts of the window, by part number modulo their count.
    std::array<counts, bucket_count> recent{};
};

void count_request(
    retry_budget& budget, const retry_budget_policy& policy, instant now
);

/// Whether one more repeat fits; counts it if so. `daemons` share the budget.
[[nodiscard]] bool take_retry(
    retry_budget& budget,
    const retry_budget_policy& policy,
    std::size_t daemons,
    instant now
);

} // namespace apricotstile::serving

#endif
