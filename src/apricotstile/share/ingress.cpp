// Demand measurement, claims for shares and handling of grants.

#include <apricotstile/share/ingress.hpp>
#include <apricotstile/share/internal/customer_share.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace apricotstile::share {

namespace {

using internal::accrual_end;
using internal::is_live;
using internal::refill_cross_region;

using ingress_actions = std::vector<ingress_action>;

constexpr std::uint64_t min_claimed_demand = 10;
constexpr std::uint64_t initial_claimed_demand = units_per_request;

/// Updates two moving averages of the demand, with time constants of about
/// 1.5 s and 0.5 s at one tick per 100 ms. After a large change the fast one
/// replaces the slow one.
void update_demand(customer_use& use, duration elapsed) {
    const auto nanoseconds =
        static_cast<std::uint64_t>(std::max<duration::rep>(elapsed.count(), 1));
    const std::uint64_t measured =
        use.arrivals * level_of_one_request / nanoseconds;
    use.arrivals = 0;
    use.recent_demand = (4 * use.recent_demand + measured) / 5;
    use.demand = (14 * use.demand + measured) / 15;
    const bool shifted = use.recent_demand * 10 > use.demand * 16 ||
                         use.recent_demand * 10 < use.demand * 4;
    if (shifted) {
        use.demand = use.recent_demand;
    }
}

bool is_idle(const ingress_state& state, const customer_use& use, instant now) {
    return use.running == 0 &&
           now - use.last_arrival > state.policy.idle_timeout;
}

/// Whether the demand rose above the share or fell below half of the claimed
/// demand. Such changes are claimed immediately, smaller ones at the next
/// renewal.
bool demand_changed(const customer_use& use) {
    constexpr std::uint64_t min_change = units_per_request;
    const bool increased =
        use.demand > use.amount.rate &&
        use.demand > use.claimed_demand + use.claimed_demand / 5 + min_change;
    const bool reduced = use.demand * 2 + min_change < use.claimed_demand;
    return increased || reduced;
}

bool claim_due(
    const ingress_state& state, const customer_use& use, instant now
) {
    if (now >= use.next_claim) {
        return true;
    }
    const instant last = use.claims.front().sent;
    const bool may_change = now - last >= state.policy.change_interval;
    const bool lost =
        use.unanswered_since && now - last >= state.policy.grant_timeout;
    const bool wanted = use.urgent && !use.unanswered_since;
    return lost || (may_change && (wanted || demand_changed(use)));
}

void record_claim(ingress_state& state, customer_use& use, instant now) {
    ++state.last_claim_number;
    std::shift_right(use.claims.begin(), use.claims.end(), 1);
    use.claims.front() = {state.last_claim_number, now};
}

std::uint32_t concurrency_demand(const customer_use& use) {
    constexpr std::uint32_t max_counted_refusals = 1'000;
    return use.peak_running + 1 + use.peak_running / 4 +
           std::min(use.refused_by_concurrency, max_counted_refusals);
}

share_claim make_claim(
    ingress_state& state,
    const customer_id& customer,
    customer_use& use,
    instant now
) {
    record_claim(state, use, now);
    use.next_claim = now + state.policy.renew_interval;
    use.urgent = false;
    use.claimed_demand = use.demand;
    if (!use.unanswered_since) {
        use.unanswered_since = now;
    }
    const bool idle = is_idle(state, use, now);
    // Without a share the first requests are queued, so that the demand can't
    // be measured yet.
    const std::uint64_t min_demand =
        is_usable(use.amount) ? min_claimed_demand : initial_claimed_demand;
    share_claim claim;
    claim.customer = customer;
    claim.claim_number = state.last_claim_number;
    claim.demand = idle ? 0 : std::max(use.demand, min_demand);
    claim.concurrency_demand = idle ? 0 : concurrency_demand(use);
    claim.running = use.running;
    claim.held_epoch = use.epoch;
    claim.held_sequence = use.sequence;
    claim.held = is_live(state, use, now) ? use.amount : share_amount{};
    claim.held_limit = use.limit;
    claim.returned = is_live(state, use, now) ? use.returned : 0;
    use.returned = 0;
    use.peak_running = use.running;
    use.refused_by_concurrency = 0;
    return claim;
}

/// Whether the customer's state can be dropped; its next request creates it
/// again.
bool is_removable(
    const ingress_state& state, const customer_use& use, instant now
) {
    return is_idle(state, use, now) && now >= use.expires;
}

bool needs_no_share(
    const ingress_state& state, const customer_use& use, instant now
) {
    return is_idle(state, use, now) && !is_usable(use.amount);
}

ingress_actions on_event(
    ingress_state& state,
    const ingress_tick&,
    const owner_lookup& owner_of,
    instant now
) {
    const duration elapsed = now - state.last_tick;
    state.last_tick = now;
    std::map<host_id, share_claims> outgoing;
    for (auto at = state.customers.begin(); at != state.customers.end();) {
        auto& [customer, use] = *at;
        if (is_removable(state, use, now)) {
            at = state.customers.erase(at);
            continue;
        }
        update_demand(use, elapsed);
        if (!is_live(state, use, now)) {
            use.amount = {};
            use.requests.level = 0;
        }
        const host_id owner = owner_of(customer);
        const bool due =
            !needs_no_share(state, use, now) && claim_due(state, use, now);
        if (due && owner != host_id{}) {
            share_claims& claims = outgoing[owner];
            claims.holder = state.self;
            claims.claims.push_back(make_claim(state, customer, use, now));
        }
        ++at;
    }
    ingress_actions actions;
    for (auto& [owner, claims] : outgoing) {
        actions.emplace_back(send_claims{owner, std::move(claims)});
    }
    return actions;
}

ingress_actions on_event(
    ingress_state& state,
    const share_wanted& event,
    const owner_lookup& owner_of,
    instant now
) {
    const auto found = state.customers.find(event.customer);
    const host_id owner = owner_of(event.customer);
    const bool due = found != state.customers.end() && owner != host_id{} &&
                     claim_due(state, found->second, now);
    if (!due) {
        return {};
    }
    share_claim claim = make_claim(state, event.customer, found->second, now);
    return {send_claims{owner, {state.self, {std::move(claim)}}}};
}

/// The part of a grant that the holder may use, given the amount it holds now.
share_amount usable_amount(const share_grant& grant, const share_amount& held) {
    share_amount amount = grant.amount;
    if (grant.rate_increase_forbidden) {
        amount.rate = std::min(amount.rate, held.rate);
        amount.burst = std::min(amount.burst, held.burst);
        amount.cross_region = std::min(amount.cross_region, held.cross_region);
    }
    if (grant.concurrency_increase_forbidden) {
        amount.concurrency = std::min(amount.concurrency, held.concurrency);
    }
    return amount;
}

/// Applies a grant. Returns whether the share was reduced: the lender can lend
/// the difference only after the next claim confirms the reduction.
bool apply_grant(
    const ingress_state& state,
    customer_use& use,
    const share_grant& grant,
    instant claimed,
    instant now
) {
    if (!is_live(state, use, now)) {
        use.amount = {};
        use.requests.level = 0;
    }
    refill(use.requests, accrual_end(state, use, now));
    refill_cross_region(use, accrual_end(state, use, now));
    const share_amount before = use.amount;
    use.amount = usable_amount(grant, before);
    use.limit = grant.limit;
    const bool same_epoch = use.epoch == grant.epoch;
    use.epoch = grant.epoch;
    use.sequence = grant.sequence;
    use.expires = claimed + state.policy.lifetime;
    use.requests.updated = now;
    use.cross_region.updated = now;
    use.requests.level += grant.tokens;
    const std::uint64_t level = use.requests.level;
    reshape(
        use.requests, use.amount.rate, use.amount.burst * level_of_one_request
    );
    // A new lender doesn't accept tokens that were dropped under its
    // predecessor.
    const std::uint64_t dropped = level - use.requests.level;
    use.returned = same_epoch ? use.returned + dropped : 0;
    reshape(
        use.cross_region,
        use.amount.cross_region,
        use.amount.cross_region * level_of_one_unit
    );
    const share_amount reduced = saturating_subtract(before, use.amount);
    return !(reduced == share_amount{});
}

std::optional<instant>
claim_sent(const customer_use& use, std::uint64_t claim_number) {
    for (const sent_claim& one : use.claims) {
        if (one.claim_number == claim_number && claim_number != 0) {
            return one.sent;
        }
    }
    return std::nullopt;
}

bool is_newer(
    const ingress_state& state,
    const customer_use& use,
    const share_grant& grant
) {
    const auto held = std::tuple{use.epoch, use.sequence};
    const auto offered = std::tuple{grant.epoch, grant.sequence};
    return offered > held || state.policy.fault_accepts_older_grants;
}

ingress_actions on_event(
    ingress_state& state,
    const grants_received& event,
    const owner_lookup&,
    instant now
) {
    ingress_actions actions;
    if (event.grants.holder != state.self) {
        return actions;
    }
    for (const share_grant& grant : event.grants.grants) {
        const auto found = state.customers.find(grant.customer);
        if (found == state.customers.end()) {
            continue;
        }
        customer_use& use = found->second;
        const auto claimed = claim_sent(use, grant.claim_number);
        if (!claimed || !is_newer(state, use, grant)) {
            continue;
        }
        const bool reduced = apply_grant(state, use, grant, *claimed, now);
        if (grant.claim_number == use.claims.front().claim_number) {
            use.unanswered_since.reset();
        }
        use.urgent = use.urgent || reduced;
        actions.emplace_back(share_changed{grant.customer});
    }
    return actions;
}

} // namespace

std::vector<ingress_action> step(
    ingress_state& state,
    const ingress_event& event,
    const owner_lookup& owner_of,
    instant now
) {
    return std::visit(
        [&](const auto& one) {
            return on_event(state, one, owner_of, now);
        },
        event
    );
}

} // namespace apricotstile::share
