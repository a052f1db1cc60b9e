// Integer implementations of the two divisions.

#include <apricotstile/share/internal/division.hpp>

#include <algorithm>
#include <numeric>

namespace apricotstile::share::internal {

std::vector<std::uint64_t> divide_max_min_fair(
    std::uint64_t total, const std::vector<std::uint64_t>& demands
) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a] < demands[b];
    });
    std::vector<std::uint64_t> shares(demands.size(), 0);
    std::uint64_t remaining = total;
    std::uint64_t holders = demands.size();
    for (const std::size_t at : order) {
        shares[at] = std::min(demands[at], remaining / holders);
        remaining -= shares[at];
        --holders;
    }
    return shares;
}

std::vector<std::uint64_t> divide_proportionally(
    std::uint64_t total, const std::vector<std::uint64_t>& weights
) {
    std::vector<std::uint64_t> shares(weights.size(), 0);
    std::uint64_t remaining = total;
    std::uint64_t weight = 0;
    for (std::size_t at = 0; at < weights.size(); ++at) {
        weight += weights[at];
        if (weights[at] > 0 && remaining > 0) {
            shares[at] = 1;
            --remaining;
        }
    }
    if (weight == 0) {
        return shares;
    }
    const std::uint64_t proportional_total = remaining;
    for (std::size_t at = 0; at < weights.size(); ++at) {
        const double fraction =
            static_cast<double>(weights[at]) / static_cast<double>(weight);
        const auto extra = std::min(
            remaining,
            static_cast<std::uint64_t>(
                static_cast<double>(proportional_total) * fraction
            )
        );
        shares[at] += extra;
        remaining -= extra;
    }
    return shares;
}

} // namespace apricotstile::share::internal
