// Token bucket for the traffic with another region.

#include <apricotstile/upstream/link_budget.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

void refill(link_budget& link, instant now) {
    if (now <= link.refilled) {
        return;
    }
    const std::chrono::duration<double> passed = now - link.refilled;
    const double whole = std::min(
        passed.count() * static_cast<double>(link.bytes_per_second),
        static_cast<double>(link.burst_bytes - link.available)
    );
    const auto gained = static_cast<std::int64_t>(whole);
    // Fractions of a byte accumulate: `refilled` advances only when at least
    // one whole byte was added.
    if (gained > 0 || link.available == link.burst_bytes) {
        link.available += gained;
        link.refilled = now;
    }
}

} // namespace

bool may_cross(link_budget& link, std::int64_t expected_bytes, instant now) {
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
