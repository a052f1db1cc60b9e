// Divides a limit among holders by their demand.

#ifndef APRICOTSTILE_SHARE_INTERNAL_DIVISION_HPP
#define APRICOTSTILE_SHARE_INTERNAL_DIVISION_HPP

#include <cstdint>
#include <vector>

namespace apricotstile::share::internal {

/// Max-min fair: no holder gets more than its demand, and a holder that gets
/// less than its demand gets at least as much as any other. The sum is at most
/// `total`.
[[nodiscard]] std::vector<std::uint64_t> divide_max_min_fair(
    std::uint64_t total, const std::vector<std::uint64_t>& demands
);

/// Divides `total` in proportion to `weights`. Each positive weight gets at
/// least one while there is enough. The sum is at most `total`.
[[nodiscard]] std::vector<std::uint64_t> divide_proportionally(
    std::uint64_t total, const std::vector<std::uint64_t>& weights
);

} // namespace apricotstile::share::internal

#endif
