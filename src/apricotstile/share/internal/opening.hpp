// Opening of a customer at its lender: the epoch of the lending state, and the
// times until which shares of earlier owners restrict it.

#ifndef APRICOTSTILE_SHARE_INTERNAL_OPENING_HPP
#define APRICOTSTILE_SHARE_INTERNAL_OPENING_HPP

#include <apricotstile/share/lender.hpp>

#include <map>

namespace apricotstile::share::internal {

/// State, inputs and outgoing messages of one step, shared by the handlers.
struct step_context {
    lender_state& state;
    const lender_view& view;
    instant now;
    /// Keyed by holder, so that one message carries all grants to it.
    std::map<member::member_ref, send_grants> outgoing;
};

[[nodiscard]] inline bool
rate_increase_forbidden(const customer_lending& customer, instant now) {
    return now < customer.rate_increase_from;
}

[[nodiscard]] inline bool
concurrency_increase_forbidden(const customer_lending& customer, instant now) {
    return now < customer.concurrency_increase_from;
}

/// The times from which shares of earlier owners can no longer be in use: for
/// admitting requests, and for requests that run.
struct predecessor_expiry {
    instant rate;
    instant concurrency;
};

[[nodiscard]] predecessor_expiry find_predecessor_expiry(
    const lender_state& state,
    slice_id slice,
    const customer_ownership& ownership
);

/// Updates the customer's limit to the plan version in force.
void update_limit(
    step_context& context, const customer_id& id, customer_lending& customer
);

/// The customer's state under the current epoch, or null when this daemon may
/// not lend to the customer.
[[nodiscard]] customer_lending*
open_customer(step_context& context, const customer_id& id);

} // namespace apricotstile::share::internal

#endif
