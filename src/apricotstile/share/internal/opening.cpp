// Creates a customer's lending state, applies handovers, and computes when
// shares of earlier owners have expired.

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/share/internal/lending.hpp>
#include <apricotstile/share/internal/opening.hpp>

#include <algorithm>

namespace apricotstile::share::internal {

namespace {

constexpr fencing_token first_epoch{1};

/// A state without shares. Any earlier state ended more than the longest
/// deadline ago, so that tokens for that time may have accrued.
customer_lending make_customer_lending(
    step_context& context,
    const customer_id& id,
    slice_id slice,
    const customer_ownership& ownership
) {
    const predecessor_expiry end =
        find_predecessor_expiry(context.state, slice, ownership);
    customer_lending created;
    created.epoch = ownership.epoch;
    created.rate_increase_from = end.rate;
    created.concurrency_increase_from = end.concurrency;
    update_limit(context, id, created);
    created.pool.updated =
        std::max(end.rate, context.now - context.state.policy.longest_deadline);
    reshape(
        created.pool,
        created.limit.rate,
        created.limit.burst * level_of_one_request
    );
    return created;
}

lent_share import_share(const handover_share& handed, instant received) {
    lent_share share;
    share.host = handed.holder.host;
    share.last_claim_number = handed.last_claim_number;
    share.demand = handed.demand;
    share.concurrency_demand = handed.concurrency_demand;
    share.last_granted = handed.amount;
    share.claimed_at = received;
    share.grants.push_back(
        {0,
         handed.amount,
         received + handed.admit_time_left,
         received + handed.running_time_left}
    );
    return share;
}

void import_shares(
    step_context& context,
    customer_lending& customer,
    const customer_handover& handed,
    instant received
) {
    for (const handover_share& one : handed.shares) {
        lent_share share = import_share(one, received);
        const auto known = customer.shares.find(one.holder);
        if (known == customer.shares.end()) {
            customer.shares.emplace(one.holder, std::move(share));
        } else {
            known->second.grants.push_back(share.grants.front());
        }
    }
    customer.rate_increase_from = context.now;
    customer.concurrency_increase_from = context.now;
    customer.pool.updated = context.now;
    customer.needs_rebalancing = true;
}

/// Applies the predecessor's handover if it was received. All its shares are
/// then known, so that there is no need to wait for their expiry.
void apply_handover(
    step_context& context, slice_id slice, const customer_ownership& ownership
) {
    lender_state& state = context.state;
    const auto found = state.handovers.find(slice);
    const bool of_predecessor =
        found != state.handovers.end() &&
        next(found->second.handover.epoch) == ownership.epoch;
    if (!of_predecessor) {
        return;
    }
    const received_handover received = std::move(found->second);
    state.handovers.erase(found);
    for (const customer_handover& one : received.handover.customers) {
        auto at = state.customers.find(one.customer);
        if (at == state.customers.end() ||
            at->second.epoch != ownership.epoch) {
            state.customers.insert_or_assign(
                one.customer,
                make_customer_lending(context, one.customer, slice, ownership)
            );
            at = state.customers.find(one.customer);
        }
        import_shares(context, at->second, one, received.received);
    }
    state.complete_epochs[slice] = ownership.epoch;
}

/// Returns false if the slice was handed over under this epoch. The next epoch
/// at the same owner means that the move was cancelled; this daemon then knows
/// all shares, and lending resumes.
bool ensure_slice_open(
    lender_state& state, slice_id slice, const customer_ownership& ownership
) {
    const auto closed = state.closed_epochs.find(slice);
    if (closed == state.closed_epochs.end()) {
        return true;
    }
    if (closed->second == ownership.epoch) {
        return false;
    }
    if (next(closed->second) == ownership.epoch) {
        state.complete_epochs[slice] = ownership.epoch;
        for (auto& [id, customer] : state.customers) {
            if (slice_of(id.value, state.slice_count) == slice) {
                customer.epoch = ownership.epoch;
                customer.needs_rebalancing = true;
            }
        }
    }
    state.closed_epochs.erase(closed);
    return true;
}

} // namespace

void update_limit(
    step_context& context, const customer_id& id, customer_lending& customer
) {
    if (customer.version == context.view.book.version) {
        return;
    }
    const plan::plan_limits* limits = plan::find_limits(context.view.book, id);
    const share_amount limit =
        limits == nullptr ? share_amount{} : amount_of(*limits);
    customer.version = context.view.book.version;
    if (limit != customer.limit) {
        customer.limit = limit;
        customer.needs_rebalancing = true;
    }
}

predecessor_expiry find_predecessor_expiry(
    const lender_state& state,
    slice_id slice,
    const customer_ownership& ownership
) {
    const share_policy& policy = state.policy;
    const auto known = state.complete_epochs.find(slice);
    const bool all_known = ownership.epoch == first_epoch ||
                           policy.fault_skips_waiting ||
                           (known != state.complete_epochs.end() &&
                            known->second == ownership.epoch);
    if (all_known) {
        return {ownership.since, ownership.since};
    }
    const instant rate =
        ownership.since + policy.lifetime + policy.drift_margin;
    return {rate, rate + policy.longest_deadline + policy.drift_margin};
}

customer_lending* open_customer(step_context& context, const customer_id& id) {
    lender_state& state = context.state;
    const auto ownership = context.view.ownership_of(id);
    const slice_id slice = slice_of(id.value, state.slice_count);
    const bool lends = ownership && ownership->until > context.now &&
                       ensure_slice_open(state, slice, *ownership);
    if (!lends) {
        return nullptr;
    }
    apply_handover(context, slice, *ownership);
    auto found = state.customers.find(id);
    if (found == state.customers.end() ||
        found->second.epoch != ownership->epoch) {
        state.customers.insert_or_assign(
            id, make_customer_lending(context, id, slice, *ownership)
        );
        found = state.customers.find(id);
    }
    update_limit(context, id, found->second);
    internal::drop_expired(found->second, state.policy, context.now);
    return &found->second;
}

} // namespace apricotstile::share::internal
