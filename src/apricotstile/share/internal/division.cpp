// Integer implementations of the two divisions.

#include <apricotstile/share/internal/division.hpp>

#include <algorithm>
#include <numeric>

namespace apricotstile::share::internal {

std::vector<std::uint64_t>
divide(std::uint64_t total, const std::vector<std::uint64_t>& demands) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a] < demands[b];
    });
    std::vector<std::uint64_t> shares(demands.size(), 0);
    std::uint64_t left = total;
    std::uint64_t holders = demands.size();
    for (const std::size_t at : order) {
        shares[at] = std::min(demands[at], left / holders);
        left -= shares[at];
        --holders;
    }
    return shares;
}

std::vector<std::uint64_t>
divide_whole(std::uint64_t total, const std::vector<std::uint64_t>& weights) {
    std::vector<std::uint64_t> shares(weights.size(), 0);
    std::uint64_t left = total;
    std::uint64_t weight = 0;
    for (std::size_t at = 0; at < weights.size(); ++at) {
        weight += weights[at];
        if (weights[at] > 0 && left > 0) {
            shares[at] = 1;
            --left;
        }
    }
    if (weight == 0) {
        return shares;
    }
    const std::uint64_t rest = left;
    for (std::size_t at = 0; at < weights.size(); ++at) {
        const double part =
            static_cast<double>(weights[at]) / static_cast<double>(weight);
        const auto more = std::min(
            left, static_cast<std::uint64_t>(static_cast<double>(rest) * part)
        );
        shares[at] += more;
        left -= more;
    }
    return shares;
}

} // namespace apricotstile::share::internal
