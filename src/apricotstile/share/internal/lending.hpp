// Accounting of one customer's lent shares.

#ifndef APRICOTSTILE_SHARE_INTERNAL_LENDING_HPP
#define APRICOTSTILE_SHARE_INTERNAL_LENDING_HPP

#include <apricotstile/share/lender.hpp>

namespace apricotstile::share::internal {

/// The maximum that the holder's live grants and running requests may use.
[[nodiscard]] share_amount committed_amount(
    const lent_share& share, const share_policy& policy, instant now
);

/// Sum of the committed amounts of all holders but `except`; of all when null.
[[nodiscard]] share_amount committed_amount_of_others(
    const customer_lending& customer,
    const member::member_ref* except,
    const share_policy& policy,
    instant now
);

/// Drops expired grants, and holders without live grants or running requests.
void drop_expired(
    customer_lending& customer, const share_policy& policy, instant now
);

/// Refills the pool, then sets its rate and capacity to what isn't lent.
void update_pool(
    customer_lending& customer, const share_policy& policy, instant now
);

/// Adds tokens that a holder dropped to the pool, up to the pool's capacity.
void return_tokens(
    customer_lending& customer,
    std::uint64_t level,
    const share_policy& policy,
    instant now
);

/// Sets every holder's target by its demand.
void set_targets(
    customer_lending& customer, const share_policy& policy, instant now
);

/// The part of the holder's target that is not lent to others now.
[[nodiscard]] share_amount available(
    const customer_lending& customer,
    const member::member_ref& holder,
    const share_policy& policy,
    instant now
);

} // namespace apricotstile::share::internal

#endif
