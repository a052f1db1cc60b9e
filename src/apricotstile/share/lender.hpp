// Lending at the daemon that owns a customer: divides the customer's limits
// among the ingress daemons (holders) by their demand.
//
// Invariants for each customer and each component of its limits: live grants
// and running requests add up to at most the plan; tokens in the pool, in
// grants in transit and in the holders' buckets add up to at most the burst.

#ifndef APRICOTSTILE_SHARE_LENDER_HPP
#define APRICOTSTILE_SHARE_LENDER_HPP

#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/share/share_message.hpp>
#include <apricotstile/share/share_policy.hpp>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace apricotstile::share {

/// This daemon's ownership of a customer, derived from its lease and the
/// assignment map.
struct customer_ownership {
    /// The slice's fencing token; 1 for the slice's first owner.
    fencing_token epoch;
    /// When this daemon became the owner.
    instant since;
    /// When the lease ends unless it is renewed.
    instant until;
};

/// Returns nothing for a customer that this daemon doesn't own.
using ownership_lookup =
    std::function<std::optional<customer_ownership>(const customer_id&)>;

/// A grant that its holder may still use.
struct live_grant {
    std::uint64_t sequence{0};
    share_amount amount;
    /// Requests may be admitted under the grant until then.
    instant admit_until;
    /// Requests admitted under the grant may run until then.
    instant running_until;
};

/// One holder of a customer's shares.
struct lent_share {
    std::vector<live_grant> grants;
    host_id host;
    std::uint64_t last_claim_number{0};
    instant claimed_at;
    std::uint64_t demand{0};
    std::uint32_t concurrency_demand{0};
    std::uint32_t running{0};
    share_amount held;
    share_amount held_limit;
    /// The holder's part in the last division of the limit.
    share_amount target;
    share_amount last_granted;
    instant last_granted_at;
};

struct customer_lending {
    fencing_token epoch;
    /// Until then holders may keep what they hold but get no more, since
    /// shares lent by an earlier owner may still be in use.
    instant rate_increase_from;
    instant concurrency_increase_from;
    share_amount limit;
    plan_version version;
    token_bucket pool;
    std::map<member::member_ref, lent_share> shares;
    /// Whether some holder's share is far from its target.
    bool needs_rebalancing{false};
};

struct received_handover {
    share_handover handover;
    instant received;
};

struct lender_state {
    share_policy policy;
    /// Number of slices of customers in the assignment map; not zero.
    std::uint32_t slice_count{1};
    std::unordered_map<customer_id, customer_lending> customers;
    /// Received before this daemon became the owner of the slice.
    std::map<slice_id, received_handover> handovers;
    /// Slices that were handed over, with the epoch that ended.
    std::map<slice_id, fencing_token> closed_epochs;
    /// Epochs at whose start all live shares of the slice were known.
    std::map<slice_id, fencing_token> complete_epochs;
    std::uint64_t last_sequence{0};
};

struct lender_tick {};

struct claims_received {
    host_id from;
    share_claims claims;
};

struct handover_received {
    share_handover handover;
};

using lender_event =
    std::variant<lender_tick, claims_received, handover_received>;

struct send_grants {
    host_id to;
    share_grants grants;
};

/// Inputs of one step besides the lender's own state.
struct lender_view {
    const plan::plan_book& book;
    const ownership_lookup& ownership_of;
};

/// Handles one event. Send a `lender_tick` every 100 ms and after a new plan
/// version takes effect.
[[nodiscard]] std::vector<send_grants> step(
    lender_state& state,
    const lender_event& event,
    const lender_view& view,
    instant now
);

/// Stops lending in the slice under `ownership` and returns the shares for the
/// next owner. Returns nothing when shares of an earlier owner may be in use
/// that this daemon doesn't know. Call it before the release of the slice is
/// sent. If the move is cancelled, the slice's token must increase before
/// lending resumes.
[[nodiscard]] std::optional<share_handover> hand_over(
    lender_state& state,
    slice_id slice,
    const customer_ownership& ownership,
    instant now
);

} // namespace apricotstile::share

#endif
