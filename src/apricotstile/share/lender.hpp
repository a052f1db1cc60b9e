// Lending at the customers' owners: divides each customer's limit among the
// ingress daemons by their demand.
//
// Invariants, for each customer and in each component: what live grants and
// running work may use adds up to at most the plan; tokens in the pool, in
// grants on their way and in holders' buckets add up to at most the burst.

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

/// This daemon's ownership of a customer, from the lease and the map.
struct customer_ownership {
    /// The slice's fencing token; 1 for the first owner of all.
    fencing_token epoch;
    /// When this daemon became the owner.
    instant since;
    /// End of the lease as it stands.
    instant until;
};

/// Nothing for a customer that this daemon doesn't own.
using ownership_lookup =
    std::function<std::optional<customer_ownership>(const customer_id&)>;

/// A grant that its holder may still use.
struct live_grant {
    std::uint64_t sequence{0};
    share_amount amount;
    /// Until when requests may be admitted under it.
    instant rate_until;
    /// Until when requests admitted under it may run.
    instant at_once_until;
};

/// One holder of a customer's shares.
struct lent_share {
    std::vector<live_grant> grants;
    host_id host;
    std::uint64_t last_mark{0};
    instant claimed_at;
    std::uint64_t demand{0};
    std::uint32_t demand_at_once{0};
    std::uint32_t running{0};
    share_amount held;
    share_amount held_limit;
    /// By the last division of the limit.
    share_amount target;
    share_amount last_granted;
    instant last_granted_at;
};

struct lent_customer {
    fencing_token epoch;
    /// Until then only shares in place are renewed.
    instant rate_from;
    instant at_once_from;
    share_amount limit;
    plan_version version;
    token_bucket pool;
    std::map<member::member_ref, lent_share> shares;
    /// Someone's share is far from its target.
    bool uneven{false};
};

struct received_handover {
    share_handover handover;
    instant received;
};

struct lender_state {
    share_policy policy;
    /// Of the customers, as the assignment map has it; not zero.
    std::uint32_t slice_count{1};
    std::unordered_map<customer_id, lent_customer> customers;
    /// Not used yet, since this daemon doesn't own the slice.
    std::map<slice_id, received_handover> handovers;
    /// Slices handed on, with the epoch that ended.
    std::map<slice_id, fencing_token> closed;
    /// Epochs at whose start all live shares of the slice were known.
    std::map<slice_id, fencing_token> known;
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

/// What the decisions need to know of the world at this step.
struct lender_view {
    const plan::plan_book& book;
    const ownership_lookup& ownership_of;
};

/// Feed a `lender_tick` every 100 ms and after a new version is in force.
[[nodiscard]] std::vector<send_grants> step(
    lender_state& state,
    const lender_event& event,
    const lender_view& view,
    instant now
);

/// Ends this daemon's lending in the slice under `ownership` and returns what
/// the next owner needs, or nothing when shares of an earlier owner may still
/// be unknown here. Call it before the slice's release is sent. When the move
/// is called off, the slice's token must rise before lending goes on.
[[nodiscard]] std::optional<share_handover> hand_over(
    lender_state& state,
    slice_id slice,
    const customer_ownership& ownership,
    instant now
);

} // namespace apricotstile::share

#endif
