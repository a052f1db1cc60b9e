// Bytes sent to and received from one other region, and the budget for them.

#ifndef APRICOTSTILE_UPSTREAM_LINK_BUDGET_HPP
#define APRICOTSTILE_UPSTREAM_LINK_BUDGET_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// A token bucket that may be overdrawn by what is in flight: a response's
/// size is known only once it is here.
struct link_budget {
    std::int64_t bytes_per_second{std::int64_t{10} << 20U};
    std::int64_t burst_bytes{std::int64_t{10} << 20U};
    std::int64_t available{std::int64_t{10} << 20U};
    instant refilled;
    /// Since the daemon started.
    std::uint64_t bytes{0};
    std::uint64_t refusals{0};
};

/// Whether `expected_bytes` may cross now.
[[nodiscard]] bool
may_cross(link_budget& link, std::int64_t expected_bytes, instant now);

/// Counts bytes that did cross.
void charge(link_budget& link, std::uint64_t bytes, instant now);

} // namespace apricotstile::upstream

#endif
