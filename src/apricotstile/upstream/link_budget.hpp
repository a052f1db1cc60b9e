// Limits the bytes sent to and received from one other region.

#ifndef APRICOTSTILE_UPSTREAM_LINK_BUDGET_HPP
#define APRICOTSTILE_UPSTREAM_LINK_BUDGET_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Token bucket. Requests in flight may overdraw it, because the size of a
/// response is known only when it has arrived.
struct link_budget {
    std::int64_t bytes_per_second{std::int64_t{10} << 20U};
    std::int64_t burst_bytes{std::int64_t{10} << 20U};
    std::int64_t available{std::int64_t{10} << 20U};
    instant last_refill;
    /// Totals since the daemon started.
    std::uint64_t bytes{0};
    std::uint64_t refusals{0};
};

/// Whether the budget allows a request of `expected_bytes` at `now`.
[[nodiscard]] bool
has_budget(link_budget& link, std::int64_t expected_bytes, instant now);

/// Deducts transferred bytes.
void charge(link_budget& link, std::uint64_t bytes, instant now);

} // namespace apricotstile::upstream

#endif
