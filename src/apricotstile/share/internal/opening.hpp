// How a lender comes to lend to a customer: under which epoch, and from when.

#ifndef APRICOTSTILE_SHARE_INTERNAL_OPENING_HPP
#define APRICOTSTILE_SHARE_INTERNAL_OPENING_HPP

#include <apricotstile/share/lender.hpp>

#include <map>

namespace apricotstile::share::internal {

/// What the handlers share in one step.
struct step_context {
    lender_state& state;
    const lender_view& view;
    instant now;
    /// By holder, so that one message carries all grants to it.
    std::map<member::member_ref, send_grants> outgoing;
};

[[nodiscard]] inline bool
rate_in_place(const lent_customer& customer, instant now) {
    return now < customer.rate_from;
}

[[nodiscard]] inline bool
at_once_in_place(const lent_customer& customer, instant now) {
    return now < customer.at_once_from;
}

/// When shares of earlier owners can no longer be in use.
struct waiting_end {
    instant rate;
    instant at_once;
};

[[nodiscard]] waiting_end end_of_waiting(
    const lender_state& state,
    slice_id slice,
    const customer_ownership& ownership
);

/// Brings the customer's limit up to the version in force.
void set_limit(
    step_context& context, const customer_id& id, lent_customer& customer
);

/// The customer's state under the present epoch, or null when this daemon may
/// not lend.
[[nodiscard]] lent_customer*
open_customer(step_context& context, const customer_id& id);

} // namespace apricotstile::share::internal

#endif
