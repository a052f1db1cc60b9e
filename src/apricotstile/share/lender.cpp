// Handling of claims and handovers, granting of shares, and the restrictions
// that apply after a change of owner.

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/share/internal/lending.hpp>
#include <apricotstile/share/internal/opening.hpp>
#include <apricotstile/share/lender.hpp>

#include <algorithm>

namespace apricotstile::share {

namespace {

using internal::available;
using internal::committed_amount;
using internal::concurrency_increase_forbidden;
using internal::open_customer;
using internal::rate_increase_forbidden;
using internal::step_context;
using internal::update_limit;

/// What the holder may keep while other shares are unknown. A share lent
/// under a higher limit may not be kept: together with the unknown shares it
/// could exceed the current limit.
share_amount
amount_to_keep(const customer_lending& customer, const lent_share& share) {
    const bool lowered =
        !(saturating_subtract(share.held_limit, customer.limit) ==
          share_amount{});
    return lowered ? share_amount{} : share.held;
}

/// The amount that the holder can be granted now. After a change of owner it
/// gets no more than it holds until the predecessor's shares have expired.
share_amount next_amount(
    const step_context& context,
    const customer_lending& customer,
    const member::member_ref& holder
) {
    const lent_share& share = customer.shares.at(holder);
    const share_amount kept = amount_to_keep(customer, share);
    if (rate_increase_forbidden(customer, context.now)) {
        return kept;
    }
    share_amount amount =
        available(customer, holder, context.state.policy, context.now);
    if (concurrency_increase_forbidden(customer, context.now)) {
        amount.concurrency = std::min(kept.concurrency, amount.concurrency);
    }
    return amount;
}

void grant(
    step_context& context,
    const customer_id& id,
    customer_lending& customer,
    const member::member_ref& holder,
    const share_amount& amount
) {
    const share_policy& policy = context.state.policy;
    lent_share& share = customer.shares.at(holder);
    const share_amount before = committed_amount(share, policy, context.now);
    internal::update_pool(customer, policy, context.now);
    share_grant new_grant;
    new_grant.rate_increase_forbidden =
        rate_increase_forbidden(customer, context.now);
    new_grant.concurrency_increase_forbidden =
        concurrency_increase_forbidden(customer, context.now);
    if (amount.burst > before.burst && !new_grant.rate_increase_forbidden) {
        const std::uint64_t raised =
            (amount.burst - before.burst) * level_of_one_request;
        new_grant.tokens = std::min(customer.pool.level, raised);
        customer.pool.level -= new_grant.tokens;
    }
    new_grant.customer = id;
    new_grant.claim_number = share.last_claim_number;
    new_grant.epoch = customer.epoch;
    new_grant.sequence = ++context.state.last_sequence;
    new_grant.amount = amount;
    new_grant.limit = customer.limit;
    new_grant.version = customer.version;
    const instant admit_until =
        share.claimed_at + policy.lifetime + policy.drift_margin;
    share.grants.push_back(
        {new_grant.sequence,
         amount,
         admit_until,
         admit_until + policy.longest_deadline + policy.drift_margin}
    );
    share.last_granted = amount;
    share.last_granted_at = context.now;
    internal::update_pool(customer, policy, context.now);
    send_grants& message = context.outgoing[holder];
    message.to = share.host;
    message.grants.holder = holder;
    message.grants.grants.push_back(std::move(new_grant));
}

/// Averages changes of less than a quarter, which are noise of small demands;
/// follows larger changes immediately.
std::uint64_t smoothed(std::uint64_t before, std::uint64_t now) {
    const bool close = now > before - before / 4 && now < before + before / 4;
    return close ? (before + now) / 2 : now;
}

/// Stores what the holder reports. Returns false for a claim that arrives out
/// of order.
bool apply_claim(
    const customer_lending& customer,
    lent_share& share,
    const share_claim& claim,
    host_id from,
    instant now
) {
    if (claim.claim_number <= share.last_claim_number) {
        return false;
    }
    share.host = from;
    share.last_claim_number = claim.claim_number;
    share.claimed_at = now;
    share.demand = smoothed(share.demand, claim.demand);
    share.concurrency_demand = claim.concurrency_demand;
    share.running = claim.running;
    share.held = claim.held;
    share.held_limit = claim.held_limit;
    if (claim.held_epoch == customer.epoch) {
        std::erase_if(share.grants, [&](const live_grant& one) {
            return one.sequence < claim.held_sequence;
        });
    }
    return true;
}

/// Whether tokens that the holder dropped may go back to the pool. They may
/// only while a grant to the holder still counts as lent; after that the same
/// tokens may have been lent to others already.
bool may_return_tokens(
    const step_context& context,
    const customer_lending& customer,
    const lent_share& share,
    const share_claim& claim
) {
    const bool still_lent = std::any_of(
        share.grants.begin(),
        share.grants.end(),
        [&](const live_grant& one) {
            return one.admit_until > context.now;
        }
    );
    return still_lent && claim.held_epoch == customer.epoch &&
           !rate_increase_forbidden(customer, context.now);
}

/// Whether `a` and `b` differ by more than `change_percent` of the greater.
bool differs_much(
    std::uint64_t a, std::uint64_t b, const share_policy& policy
) {
    const std::uint64_t high = std::max(a, b);
    return (high - std::min(a, b)) * 100 > high * policy.change_percent;
}

bool differs_much(
    const share_amount& a, const share_amount& b, const share_policy& policy
) {
    return differs_much(a.rate, b.rate, policy) ||
           differs_much(a.burst, b.burst, policy) ||
           differs_much(a.concurrency, b.concurrency, policy);
}

/// Whether some holder can't get its target because others hold more than
/// their targets.
bool has_shortfall(
    const step_context& context, const customer_lending& customer
) {
    const share_policy& policy = context.state.policy;
    for (const auto& [holder, share] : customer.shares) {
        const share_amount amount =
            available(customer, holder, policy, context.now);
        if (differs_much(share.target, amount, policy)) {
            return true;
        }
    }
    return false;
}

bool may_grant_unclaimed(const step_context& context, const lent_share& share) {
    const share_policy& policy = context.state.policy;
    const bool recent =
        context.now - share.last_granted_at < policy.change_interval;
    const bool claim_old = context.now - share.claimed_at > policy.lifetime / 2;
    return !recent && !claim_old;
}

/// Sends grants to the holders whose shares differ much from what they can be
/// granted now.
void rebalance(
    step_context& context, const customer_id& id, customer_lending& customer
) {
    const share_policy& policy = context.state.policy;
    if (rate_increase_forbidden(customer, context.now)) {
        return;
    }
    internal::set_targets(customer, policy, context.now);
    const bool shortfall = has_shortfall(context, customer);
    // While holders share a small limit in rotation, each tick checks them.
    customer.needs_rebalancing =
        shortfall || customer.limit.burst < customer.shares.size() ||
        customer.limit.concurrency < customer.shares.size();
    for (auto& [holder, share] : customer.shares) {
        const share_amount amount = next_amount(context, customer, holder);
        const bool raises = differs_much(amount, share.last_granted, policy) &&
                            !(saturating_subtract(amount, share.last_granted) ==
                              share_amount{});
        const bool lowers =
            shortfall && differs_much(share.last_granted, amount, policy);
        if (!raises && !lowers) {
            continue;
        }
        customer.needs_rebalancing = true;
        if (may_grant_unclaimed(context, share)) {
            grant(context, id, customer, holder, amount);
        }
    }
}

void on_event(step_context& context, const claims_received& event) {
    for (const share_claim& claim : event.claims.claims) {
        customer_lending* customer = open_customer(context, claim.customer);
        if (customer == nullptr) {
            continue;
        }
        const member::member_ref& holder = event.claims.holder;
        lent_share& share = customer->shares[holder];
        const bool applied =
            apply_claim(*customer, share, claim, event.from, context.now);
        if (!applied) {
            continue;
        }
        if (may_return_tokens(context, *customer, share, claim)) {
            internal::return_tokens(
                *customer, claim.returned, context.state.policy, context.now
            );
        }
        internal::set_targets(*customer, context.state.policy, context.now);
        customer->needs_rebalancing = true;
        grant(
            context,
            claim.customer,
            *customer,
            holder,
            next_amount(context, *customer, holder)
        );
    }
}

void on_event(step_context& context, const handover_received& event) {
    context.state.handovers.insert_or_assign(
        event.handover.slice, received_handover{event.handover, context.now}
    );
}

void drop_old_handovers(step_context& context) {
    const share_policy& policy = context.state.policy;
    const duration longest =
        policy.lifetime + policy.longest_deadline + 2 * policy.drift_margin;
    std::erase_if(context.state.handovers, [&](const auto& entry) {
        return context.now - entry.second.received > longest;
    });
}

bool may_lend(
    const step_context& context,
    const customer_id& id,
    const customer_lending& customer
) {
    const auto ownership = context.view.ownership_of(id);
    const auto closed = context.state.closed_epochs.find(
        slice_of(id.value, context.state.slice_count)
    );
    const bool is_closed = closed != context.state.closed_epochs.end() &&
                           closed->second == customer.epoch;
    return ownership && ownership->epoch == customer.epoch &&
           ownership->until > context.now && !is_closed;
}

void on_event(step_context& context, const lender_tick&) {
    drop_old_handovers(context);
    std::vector<customer_id> unused;
    for (auto& [id, entry] : context.state.customers) {
        internal::drop_expired(entry, context.state.policy, context.now);
        if (entry.shares.empty()) {
            unused.push_back(id);
            continue;
        }
        update_limit(context, id, entry);
        if (entry.needs_rebalancing && may_lend(context, id, entry)) {
            rebalance(context, id, entry);
        }
    }
    for (const customer_id& id : unused) {
        context.state.customers.erase(id);
    }
}

handover_share to_handover_share(
    const member::member_ref& holder,
    const lent_share& share,
    const share_policy& policy,
    instant now
) {
    handover_share handed;
    handed.holder = holder;
    handed.last_claim_number = share.last_claim_number;
    handed.demand = share.demand;
    handed.concurrency_demand = share.concurrency_demand;
    handed.amount = committed_amount(share, policy, now);
    for (const live_grant& one : share.grants) {
        handed.admit_time_left =
            std::max(handed.admit_time_left, one.admit_until - now);
        handed.running_time_left =
            std::max(handed.running_time_left, one.running_until - now);
    }
    const duration reported_running_left =
        share.claimed_at + policy.longest_deadline + policy.drift_margin - now;
    handed.running_time_left =
        std::max(handed.running_time_left, reported_running_left);
    return handed;
}

} // namespace

std::vector<send_grants> step(
    lender_state& state,
    const lender_event& event,
    const lender_view& view,
    instant now
) {
    step_context context{state, view, now, {}};
    std::visit(
        [&](const auto& one) {
            on_event(context, one);
        },
        event
    );
    std::vector<send_grants> actions;
    for (auto& [holder, message] : context.outgoing) {
        actions.push_back(std::move(message));
    }
    return actions;
}

std::optional<share_handover> hand_over(
    lender_state& state,
    slice_id slice,
    const customer_ownership& ownership,
    instant now
) {
    state.closed_epochs[slice] = ownership.epoch;
    if (now < internal::find_predecessor_expiry(state, slice, ownership)
                  .concurrency) {
        return std::nullopt;
    }
    share_handover handover{slice, ownership.epoch, {}};
    for (auto& [id, customer] : state.customers) {
        const bool moves = customer.epoch == ownership.epoch &&
                           slice_of(id.value, state.slice_count) == slice;
        if (!moves) {
            continue;
        }
        internal::drop_expired(customer, state.policy, now);
        customer_handover one{id, {}};
        for (const auto& [holder, share] : customer.shares) {
            one.shares.push_back(
                to_handover_share(holder, share, state.policy, now)
            );
        }
        handover.customers.push_back(std::move(one));
    }
    return handover;
}

} // namespace apricotstile::share
