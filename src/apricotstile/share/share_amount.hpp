// The part of a customer's limits that a share holds.

#ifndef APRICOTSTILE_SHARE_SHARE_AMOUNT_HPP
#define APRICOTSTILE_SHARE_SHARE_AMOUNT_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/plan/plan_limits.hpp>
#include <apricotstile/share/token_bucket.hpp>

#include <algorithm>
#include <cstdint>

namespace apricotstile::share {

struct share_amount {
    /// In thousandths of a request per second.
    std::uint64_t rate{0};
    /// In requests.
    std::uint32_t burst{0};
    std::uint32_t concurrency{0};
    /// Bytes per second between regions.
    std::uint64_t cross_region{0};

    friend bool operator==(const share_amount&, const share_amount&) = default;
};

/// All limits of a customer.
[[nodiscard]] inline share_amount amount_of(const plan::plan_limits& limits) {
    return {
        limits.requests_per_second * units_per_request,
        limits.burst,
        limits.requests_at_once,
        limits.cross_region_bytes_per_second};
}

/// Whether at least one request can be admitted under the amount.
[[nodiscard]] inline bool is_usable(const share_amount& amount) {
    return amount.rate > 0 && amount.burst > 0 && amount.concurrency > 0;
}

[[nodiscard]] inline share_amount
component_min(const share_amount& a, const share_amount& b) {
    return {
        std::min(a.rate, b.rate),
        std::min(a.burst, b.burst),
        std::min(a.concurrency, b.concurrency),
        std::min(a.cross_region, b.cross_region)};
}

[[nodiscard]] inline share_amount
component_max(const share_amount& a, const share_amount& b) {
    return {
        std::max(a.rate, b.rate),
        std::max(a.burst, b.burst),
        std::max(a.concurrency, b.concurrency),
        std::max(a.cross_region, b.cross_region)};
}

[[nodiscard]] inline share_amount
component_sum(const share_amount& a, const share_amount& b) {
    return {
        a.rate + b.rate,
        a.burst + b.burst,
        a.concurrency + b.concurrency,
        a.cross_region + b.cross_region};
}

/// Component-wise `whole - part`, zero where `part` is greater.
[[nodiscard]] inline share_amount
saturating_subtract(const share_amount& whole, const share_amount& part) {
    const share_amount fits = component_min(whole, part);
    return {
        whole.rate - fits.rate,
        whole.burst - fits.burst,
        whole.concurrency - fits.concurrency,
        whole.cross_region - fits.cross_region};
}

template <class Archive>
void serialize(Archive& archive, share_amount& value) {
    archive(value.rate, value.burst, value.concurrency, value.cross_region);
}

} // namespace apricotstile::share

#endif
