// Expiry and refill of a customer's share, used by admission and by the
// handling of grants.

#ifndef APRICOTSTILE_SHARE_INTERNAL_CUSTOMER_SHARE_HPP
#define APRICOTSTILE_SHARE_INTERNAL_CUSTOMER_SHARE_HPP

#include <apricotstile/share/ingress.hpp>

#include <algorithm>

namespace apricotstile::share::internal {

[[nodiscard]] inline bool
is_live(const ingress_state& state, const customer_use& use, instant now) {
    return now < use.expires || state.policy.fault_never_expires;
}

/// The time up to which tokens accrue: none do after the share has expired.
[[nodiscard]] inline instant
accrual_end(const ingress_state& state, const customer_use& use, instant now) {
    return state.policy.fault_never_expires ? now : std::min(now, use.expires);
}

/// Refills the bucket of bytes between regions and pays off the debt first.
inline void refill_cross_region(customer_use& use, instant now) {
    token_bucket& bucket = use.cross_region;
    refill(bucket, now);
    const std::uint64_t paid =
        std::min(use.cross_region_debt, bucket.level / level_of_one_unit);
    use.cross_region_debt -= paid;
    bucket.level -= paid * level_of_one_unit;
}

} // namespace apricotstile::share::internal

#endif
