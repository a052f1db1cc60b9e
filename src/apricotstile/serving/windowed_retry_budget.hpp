// Limits the retries that this daemon sends to a service. The daemons' shares
// add up to no more than the budget of the whole system without any messages:
// each may retry a fraction of its own requests, plus an equal share of the
// fixed extra.

#ifndef APRICOTSTILE_SERVING_WINDOWED_RETRY_BUDGET_HPP
#define APRICOTSTILE_SERVING_WINDOWED_RETRY_BUDGET_HPP

#include <apricotstile/core/time.hpp>

#include <array>
#include <cstdint>

namespace apricotstile::serving {

struct windowed_retry_budget_policy {
    /// Retries per request.
    double retries_per_request{0.1};
    /// Additional retries per window, for all daemons together.
    double fixed_retries{30};
    duration window{std::chrono::seconds{10}};
};

/// Request and retry counts of one service.
struct windowed_retry_budget {
    static constexpr std::size_t bucket_count = 10;

    struct counts {
        std::int64_t bucket{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    /// The last buckets of the window, indexed by bucket number modulo their
    /// count.
    std::array<counts, bucket_count> recent{};
};

void count_request(
    windowed_retry_budget& budget,
    const windowed_retry_budget_policy& policy,
    instant now
);

/// Whether the budget allows one more retry; counts it if so. `daemons` is the
/// number of daemons that share the budget.
[[nodiscard]] bool take_retry(
    windowed_retry_budget& budget,
    const windowed_retry_budget_policy& policy,
    std::size_t daemons,
    instant now
);

} // namespace apricotstile::serving

#endif
