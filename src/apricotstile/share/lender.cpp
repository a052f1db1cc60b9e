// Claims, grants, waiting after a change of owner, and handover.

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/share/internal/lending.hpp>
#include <apricotstile/share/lender.hpp>

#include <algorithm>

namespace apricotstile::share {

namespace {

using internal::available;
using internal::committed;

constexpr fencing_token first_epoch{1};

/// What the handlers share in one step.
struct step_context {
    lender_state& state;
    const lender_view& view;
    instant now;
    /// By holder, so that one message carries all grants to it.
    std::map<member::member_ref, send_grants> outgoing;
};

bool rate_in_place(const lent_customer& customer, instant now) {
    return now < customer.rate_from;
}

bool at_once_in_place(const lent_customer& customer, instant now) {
    return now < customer.at_once_from;
}

void set_limit(
    step_context& context, const customer_id& id, lent_customer& customer
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
        customer.uneven = true;
    }
}

/// When shares of earlier owners can no longer be in use.
struct waiting_end {
    instant rate;
    instant at_once;
};

waiting_end end_of_waiting(
    const lender_state& state,
    slice_id slice,
    const customer_ownership& ownership
) {
    const share_policy& policy = state.policy;
    const auto known = state.known.find(slice);
    const bool all_known =
        ownership.epoch == first_epoch || policy.fault_no_waiting ||
        (known != state.known.end() && known->second == ownership.epoch);
    if (all_known) {
        return {ownership.since, ownership.since};
    }
    const instant rate =
        ownership.since + policy.lifetime + policy.drift_margin;
    return {rate, rate + policy.longest_deadline + policy.drift_margin};
}

/// A state without shares. What it was before, if anything, ended more than
/// the longest deadline ago, so as much may have accrued.
lent_customer fresh_customer(
    step_context& context,
    const customer_id& id,
    slice_id slice,
    const customer_ownership& ownership
) {
    const waiting_end end = end_of_waiting(context.state, slice, ownership);
    lent_customer fresh;
    fresh.epoch = ownership.epoch;
    fresh.rate_from = end.rate;
    fresh.at_once_from = end.at_once;
    set_limit(context, id, fresh);
    fresh.pool.updated =
        std::max(end.rate, context.now - context.state.policy.longest_deadline);
    reshape(
        fresh.pool, fresh.limit.rate, fresh.limit.burst * level_of_one_request
    );
    return fresh;
}

lent_share take_over(const handed_share& handed, instant received) {
    lent_share share;
    share.host = handed.holder.host;
    share.last_mark = handed.last_mark;
    share.demand = handed.demand;
    share.demand_at_once = handed.demand_at_once;
    share.last_granted = handed.amount;
    share.claimed_at = received;
    share.grants.push_back(
        {0,
         handed.amount,
         received + handed.rate_left,
         received + handed.at_once_left}
    );
    return share;
}

void import_shares(
    step_context& context,
    lent_customer& customer,
    const customer_handover& handed,
    instant received
) {
    for (const handed_share& one : handed.shares) {
        lent_share share = take_over(one, received);
        const auto known = customer.shares.find(one.holder);
        if (known == customer.shares.end()) {
            customer.shares.emplace(one.holder, std::move(share));
        } else {
            known->second.grants.push_back(share.grants.front());
        }
    }
    customer.rate_from = context.now;
    customer.at_once_from = context.now;
    customer.pool.updated = context.now;
    customer.uneven = true;
}

/// The predecessor's shares are all known: nothing needs waiting out.
void use_handover(
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
                fresh_customer(context, one.customer, slice, ownership)
            );
            at = state.customers.find(one.customer);
        }
        import_shares(context, at->second, one, received.received);
    }
    state.known[slice] = ownership.epoch;
}

/// False while the slice is handed on under this epoch. A higher epoch at the
/// same owner means that the move was called off: it knows all shares.
bool is_open(
    lender_state& state, slice_id slice, const customer_ownership& ownership
) {
    const auto closed = state.closed.find(slice);
    if (closed == state.closed.end()) {
        return true;
    }
    if (closed->second == ownership.epoch) {
        return false;
    }
    if (next(closed->second) == ownership.epoch) {
        state.known[slice] = ownership.epoch;
        for (auto& [id, customer] : state.customers) {
            if (slice_of(id.value, state.slice_count) == slice) {
                customer.epoch = ownership.epoch;
                customer.uneven = true;
            }
        }
    }
    state.closed.erase(closed);
    return true;
}

/// The customer's state under the present epoch, or null when this daemon may
/// not lend.
lent_customer* open_customer(step_context& context, const customer_id& id) {
    lender_state& state = context.state;
    const auto ownership = context.view.ownership_of(id);
    const slice_id slice = slice_of(id.value, state.slice_count);
    const bool lends = ownership && ownership->until > context.now &&
                       is_open(state, slice, *ownership);
    if (!lends) {
        return nullptr;
    }
    use_handover(context, slice, *ownership);
    auto found = state.customers.find(id);
    if (found == state.customers.end() ||
        found->second.epoch != ownership->epoch) {
        state.customers.insert_or_assign(
            id, fresh_customer(context, id, slice, *ownership)
        );
        found = state.customers.find(id);
    }
    set_limit(context, id, found->second);
    internal::drop_expired(found->second, state.policy, context.now);
    return &found->second;
}

/// What the holder may keep while other shares are unknown. A share lent
/// under a higher limit may not be kept: with the unknown ones it could
/// exceed the present limit.
share_amount
amount_in_place(const lent_customer& customer, const lent_share& share) {
    const bool lowered =
        !(rest(share.held_limit, customer.limit) == share_amount{});
    return lowered ? share_amount{} : share.held;
}

/// The amount for the holder now, by the waiting rules.
share_amount next_amount(
    const step_context& context,
    const lent_customer& customer,
    const member::member_ref& holder
) {
    const lent_share& share = customer.shares.at(holder);
    const share_amount in_place = amount_in_place(customer, share);
    if (rate_in_place(customer, context.now)) {
        return in_place;
    }
    share_amount amount =
        available(customer, holder, context.state.policy, context.now);
    if (at_once_in_place(customer, context.now)) {
        amount.at_once = std::min(in_place.at_once, amount.at_once);
    }
    return amount;
}

void grant(
    step_context& context,
    const customer_id& id,
    lent_customer& customer,
    const member::member_ref& holder,
    const share_amount& amount
) {
    const share_policy& policy = context.state.policy;
    lent_share& share = customer.shares.at(holder);
    const share_amount before = committed(share, policy, context.now);
    internal::fit_pool(customer, policy, context.now);
    share_grant made;
    made.rate_in_place = rate_in_place(customer, context.now);
    made.at_once_in_place = at_once_in_place(customer, context.now);
    if (amount.burst > before.burst && !made.rate_in_place) {
        const std::uint64_t raised =
            (amount.burst - before.burst) * level_of_one_request;
        made.tokens = std::min(customer.pool.level, raised);
        customer.pool.level -= made.tokens;
    }
    made.customer = id;
    made.mark = share.last_mark;
    made.epoch = customer.epoch;
    made.sequence = ++context.state.last_sequence;
    made.amount = amount;
    made.limit = customer.limit;
    made.version = customer.version;
    const instant rate_until =
        share.claimed_at + policy.lifetime + policy.drift_margin;
    share.grants.push_back(
        {made.sequence,
         amount,
         rate_until,
         rate_until + policy.longest_deadline + policy.drift_margin}
    );
    share.last_granted = amount;
    share.last_granted_at = context.now;
    internal::fit_pool(customer, policy, context.now);
    send_grants& message = context.outgoing[holder];
    message.to = share.host;
    message.grants.holder = holder;
    message.grants.grants.push_back(std::move(made));
}

/// Evens out the noise of small demands; follows large changes at once.
std::uint64_t smoothed(std::uint64_t before, std::uint64_t now) {
    const bool close = now > before - before / 4 && now < before + before / 4;
    return close ? (before + now) / 2 : now;
}

/// Takes in what the holder reports; false for a claim out of order.
bool note_claim(
    const lent_customer& customer,
    lent_share& share,
    const share_claim& claim,
    host_id from,
    instant now
) {
    if (claim.mark <= share.last_mark) {
        return false;
    }
    share.host = from;
    share.last_mark = claim.mark;
    share.claimed_at = now;
    share.demand = smoothed(share.demand, claim.demand);
    share.demand_at_once = claim.demand_at_once;
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

/// Dropped tokens count only while the grant that they came under is still
/// counted as lent; later others may have had them already.
bool may_return(
    const step_context& context,
    const lent_customer& customer,
    const lent_share& share,
    const share_claim& claim
) {
    const bool still_lent = std::any_of(
        share.grants.begin(),
        share.grants.end(),
        [&](const live_grant& one) {
            return one.rate_until > context.now;
        }
    );
    return still_lent && claim.held_epoch == customer.epoch &&
           !rate_in_place(customer, context.now);
}

/// True when `a` differs from `b` by more than the policy's percentage.
bool is_far(std::uint64_t a, std::uint64_t b, const share_policy& policy) {
    const std::uint64_t high = std::max(a, b);
    return (high - std::min(a, b)) * 100 > high * policy.change_percent;
}

bool is_far(
    const share_amount& a, const share_amount& b, const share_policy& policy
) {
    return is_far(a.rate, b.rate, policy) || is_far(a.burst, b.burst, policy) ||
           is_far(a.at_once, b.at_once, policy);
}

/// Whether some holder can't get its target because others hold more than
/// theirs.
bool is_short(const step_context& context, const lent_customer& customer) {
    const share_policy& policy = context.state.policy;
    for (const auto& [holder, share] : customer.shares) {
        const share_amount amount =
            available(customer, holder, policy, context.now);
        if (is_far(share.target, amount, policy)) {
            return true;
        }
    }
    return false;
}

bool may_push(const step_context& context, const lent_share& share) {
    const share_policy& policy = context.state.policy;
    const bool recent =
        context.now - share.last_granted_at < policy.change_interval;
    const bool claim_old = context.now - share.claimed_at > policy.lifetime / 2;
    return !recent && !claim_old;
}

/// Grants the holders whose shares are far from what they can have now.
void even_out(
    step_context& context, const customer_id& id, lent_customer& customer
) {
    const share_policy& policy = context.state.policy;
    if (rate_in_place(customer, context.now)) {
        return;
    }
    internal::set_targets(customer, policy, context.now);
    const bool lacking = is_short(context, customer);
    // Holders that take turns are looked at in each tick.
    customer.uneven = lacking ||
                      customer.limit.burst < customer.shares.size() ||
                      customer.limit.at_once < customer.shares.size();
    for (auto& [holder, share] : customer.shares) {
        const share_amount amount = next_amount(context, customer, holder);
        const bool raises =
            is_far(amount, share.last_granted, policy) &&
            !(rest(amount, share.last_granted) == share_amount{});
        const bool lowers =
            lacking && is_far(share.last_granted, amount, policy);
        if (!raises && !lowers) {
            continue;
        }
        customer.uneven = true;
        if (may_push(context, share)) {
            grant(context, id, customer, holder, amount);
        }
    }
}

void on_event(step_context& context, const claims_received& event) {
    for (const share_claim& claim : event.claims.claims) {
        lent_customer* customer = open_customer(context, claim.customer);
        if (customer == nullptr) {
            continue;
        }
        const member::member_ref& holder = event.claims.holder;
        lent_share& share = customer->shares[holder];
        const bool taken =
            note_claim(*customer, share, claim, event.from, context.now);
        if (!taken) {
            continue;
        }
        if (may_return(context, *customer, share, claim)) {
            internal::return_tokens(
                *customer, claim.returned, context.state.policy, context.now
            );
        }
        internal::set_targets(*customer, context.state.policy, context.now);
        customer->uneven = true;
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
    const lent_customer& customer
) {
    const auto ownership = context.view.ownership_of(id);
    const auto closed =
        context.state.closed.find(slice_of(id.value, context.state.slice_count)
        );
    const bool is_closed = closed != context.state.closed.end() &&
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
        set_limit(context, id, entry);
        if (entry.uneven && may_lend(context, id, entry)) {
            even_out(context, id, entry);
        }
    }
    for (const customer_id& id : unused) {
        context.state.customers.erase(id);
    }
}

handed_share hand_share(
    const member::member_ref& holder,
    const lent_share& share,
    const share_policy& policy,
    instant now
) {
    handed_share handed;
    handed.holder = holder;
    handed.last_mark = share.last_mark;
    handed.demand = share.demand;
    handed.demand_at_once = share.demand_at_once;
    handed.amount = committed(share, policy, now);
    for (const live_grant& one : share.grants) {
        handed.rate_left = std::max(handed.rate_left, one.rate_until - now);
        handed.at_once_left =
            std::max(handed.at_once_left, one.at_once_until - now);
    }
    const duration running_left =
        share.claimed_at + policy.longest_deadline + policy.drift_margin - now;
    handed.at_once_left = std::max(handed.at_once_left, running_left);
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
    state.closed[slice] = ownership.epoch;
    if (now < end_of_waiting(state, slice, ownership).at_once) {
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
            one.shares.push_back(hand_share(holder, share, state.policy, now));
        }
        handover.customers.push_back(std::move(one));
    }
    return handover;
}

} // namespace apricotstile::share
