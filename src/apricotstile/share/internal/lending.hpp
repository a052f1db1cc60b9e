// The book-keeping of one customer's lent shares.

#ifndef APRICOTSTILE_SHARE_INTERNAL_LENDING_HPP
#define APRICOTSTILE_SHARE_INTERNAL_LENDING_HPP

#include <apricotstile/share/lender.hpp>

namespace apricotstile::share::internal {

/// The most that the holder's live grants and running work may use.
[[nodiscard]] share_amount
committed(const lent_share& share, const share_policy& policy, instant now);

/// Over all holders but `except` (none when null).
[[nodiscard]] share_amount committed_to_others(
    const lent_customer& customer,
    const member::member_ref* except,
    const share_policy& policy,
    instant now
);

/// Drops grants and holders that nobody can use any more.
void drop_expired(
    lent_customer& customer, const share_policy& policy, instant now
);

/// Accrues the pool, then fits it to what isn't lent.
void fit_pool(lent_customer& customer, const share_policy& policy, instant now);

/// Puts tokens that a holder dropped into the pool, as far as they fit.
void return_tokens(
    lent_customer& customer,
    std::uint64_t level,
    const share_policy& policy,
    instant now
);

/// Sets every holder's target by its demand.
void set_targets(
    lent_customer& customer, const share_policy& policy, instant now
);

/// As much of the holder's target as is free now.
[[nodiscard]] share_amount available(
    const lent_customer& customer,
    const member::member_ref& holder,
    const share_policy& policy,
    instant now
);

} // namespace apricotstile::share::internal

#endif
