// Token bucket for the traffic with another region.

#include <apricotstile/upstream/link_budget.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

void refill(link_budget& link, instant now) {
    if (now <= link.last_refill) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - link.last_refill;
    const double added = std::min(
        elapsed.count() * static_cast<double>(link.bytes_per_second),
        static_cast<double>(link.burst_bytes - link.available)
    );
    const auto added_bytes = static_cast<std::int64_t>(added);
    // Fractions of a byte accumulate: `last_refill` advances only when at least
    // one whole byte was added.
    if (added_bytes > 0 || link.available == link.burst_bytes) {
        link.available += added_bytes;
        link.last_refill = now;
    }
}

} // namespace

bool has_budget(link_budget& link, std::int64_t expected_bytes, instant now) {
    refill(link, now);
    if (link.available < std::max<std::int64_t>(1, expected_bytes)) {
        ++link.refusals;
        return false;
    }
    return true;
}

void charge(link_budget& link, std::uint64_t bytes, instant now) {
    refill(link, now);
    link.bytes += bytes;
    link.available -= static_cast<std::int64_t>(bytes);
}

} // namespace apricotstile::upstream
