// Messages between holders of shares (ingress daemons) and lenders (owners of
// customers).

#ifndef APRICOTSTILE_SHARE_SHARE_MESSAGE_HPP
#define APRICOTSTILE_SHARE_SHARE_MESSAGE_HPP

#include <apricotstile/member/member_record.hpp>
#include <apricotstile/share/share_amount.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace apricotstile::share {

/// Requests or renews a share, or returns it when the demand is zero.
struct share_claim {
    customer_id customer;
    /// Increases with each claim of this holder for the customer; a lender
    /// ignores claims that arrive out of order.
    std::uint64_t claim_number{0};
    /// In thousandths of a request per second.
    std::uint64_t demand{0};
    std::uint32_t concurrency_demand{0};
    /// Requests that the holder has admitted and that have not ended.
    std::uint32_t running{0};
    /// The last grant that the holder applied; it never uses older ones again.
    fencing_token held_epoch;
    std::uint64_t held_sequence{0};
    /// Zero when the share has expired.
    share_amount held;
    /// The plan's limit at the time when the share was lent.
    share_amount held_limit;
    /// Tokens dropped when the share was reduced, as a level.
    std::uint64_t returned{0};
};

/// All claims that a holder has for one lender.
struct share_claims {
    member::member_ref holder;
    std::vector<share_claim> claims;
};

struct share_grant {
    customer_id customer;
    /// The claim that the grant's lifetime starts from.
    std::uint64_t claim_number{0};
    /// The lender's fencing token for the customer and the lender's own
    /// counter. A holder applies a grant only if (epoch, sequence) is greater
    /// than that of the last one.
    fencing_token epoch;
    std::uint64_t sequence{0};
    share_amount amount;
    /// The plan's limit at the time of lending.
    share_amount limit;
    /// Tokens to add to the holder's bucket, as a level.
    std::uint64_t tokens{0};
    /// True while the lender doesn't know all shares of its predecessor: the
    /// holder may then use at most what it holds already.
    bool rate_increase_forbidden{false};
    bool concurrency_increase_forbidden{false};
    plan_version version;
};

struct share_grants {
    member::member_ref holder;
    std::vector<share_grant> grants;
};

/// A share as it is handed over to the customer's next owner.
struct handover_share {
    member::member_ref holder;
    std::uint64_t last_claim_number{0};
    std::uint64_t demand{0};
    std::uint32_t concurrency_demand{0};
    share_amount amount;
    /// Time left when the message was sent.
    duration admit_time_left{0};
    duration running_time_left{0};
};

struct customer_handover {
    customer_id customer;
    std::vector<handover_share> shares;
};

/// Sent by an owner before it releases a slice of customers. After creating
/// it the sender lends nothing more in that slice under that epoch.
struct share_handover {
    slice_id slice;
    /// The epoch that ends.
    fencing_token epoch;
    /// Customers of the slice that aren't listed have no shares.
    std::vector<customer_handover> customers;
};

using share_message = std::variant<share_claims, share_grants, share_handover>;

template <class Archive>
void serialize(Archive& archive, share_claim& value) {
    archive(
        value.customer,
        value.claim_number,
        value.demand,
        value.concurrency_demand
    );
    archive(value.running, value.held_epoch, value.held_sequence, value.held);
    archive(value.held_limit, value.returned);
}

template <class Archive>
void serialize(Archive& archive, share_claims& value) {
    archive(value.holder, value.claims);
}

template <class Archive>
void serialize(Archive& archive, share_grant& value) {
    archive(value.customer, value.claim_number, value.epoch, value.sequence);
    archive(
        value.amount, value.limit, value.tokens, value.rate_increase_forbidden
    );
    archive(value.concurrency_increase_forbidden, value.version);
}

template <class Archive>
void serialize(Archive& archive, share_grants& value) {
    archive(value.holder, value.grants);
}

template <class Archive>
void serialize(Archive& archive, handover_share& value) {
    archive(value.holder, value.last_claim_number, value.demand);
    archive(value.concurrency_demand, value.amount);
    archive(value.admit_time_left, value.running_time_left);
}

template <class Archive>
void serialize(Archive& archive, customer_handover& value) {
    archive(value.customer, value.shares);
}

template <class Archive>
void serialize(Archive& archive, share_handover& value) {
    archive(value.slice, value.epoch, value.customers);
}

} // namespace apricotstile::share

#endif
