// Sums of live grants, the token pool and the holders' targets.

#include <apricotstile/share/internal/division.hpp>
#include <apricotstile/share/internal/lending.hpp>

#include <algorithm>

namespace apricotstile::share::internal {

namespace {

instant
reported_running_until(const lent_share& share, const share_policy& policy) {
    return share.claimed_at + policy.longest_deadline + policy.drift_margin;
}

/// The part of a limit that is divided by demand: all but one hundredth. The
/// reserve serves new holders until the others have returned what exceeds
/// their targets.
std::uint64_t without_reserve(std::uint64_t total) {
    constexpr std::uint64_t reserve_part = 100;
    return total - total / reserve_part;
}

/// Divides by demand first, then what is left by headroom above the demand.
std::vector<std::uint64_t> divide_rate(
    std::uint64_t total,
    const std::vector<std::uint64_t>& demands,
    const share_policy& policy
) {
    std::vector<std::uint64_t> shares = divide_max_min_fair(total, demands);
    std::uint64_t remaining = total;
    std::vector<std::uint64_t> headroom;
    for (std::size_t at = 0; at < demands.size(); ++at) {
        remaining -= shares[at];
        headroom.push_back(demands[at] * policy.headroom_percent / 100);
    }
    const std::vector<std::uint64_t> extra =
        divide_max_min_fair(remaining, headroom);
    for (std::size_t at = 0; at < demands.size(); ++at) {
        shares[at] += extra[at];
    }
    return shares;
}

/// The holders that get a share now. When the burst or concurrency limit is
/// lower than the number of holders with demand, a rotating subset.
std::vector<lent_share*> active_holders(
    customer_lending& customer, const share_policy& policy, instant now
) {
    std::vector<lent_share*> with_demand;
    for (auto& [holder, share] : customer.shares) {
        share.target = {};
        if (share.demand > 0) {
            with_demand.push_back(&share);
        }
    }
    const std::size_t active_count = std::min<std::size_t>(
        {with_demand.size(), customer.limit.burst, customer.limit.concurrency}
    );
    if (active_count < with_demand.size() && active_count > 0) {
        const auto rotation_index = static_cast<std::size_t>(
            now.time_since_epoch() / policy.rotation_interval
        );
        const std::size_t first =
            rotation_index * active_count % with_demand.size();
        std::rotate(
            with_demand.begin(),
            with_demand.begin() + static_cast<std::ptrdiff_t>(first),
            with_demand.end()
        );
    }
    with_demand.resize(active_count);
    return with_demand;
}

} // namespace

share_amount committed_amount(
    const lent_share& share, const share_policy& policy, instant now
) {
    share_amount maximum;
    for (const live_grant& grant : share.grants) {
        if (grant.admit_until > now) {
            maximum = component_max(maximum, grant.amount);
        } else if (grant.running_until > now) {
            maximum.concurrency =
                std::max(maximum.concurrency, grant.amount.concurrency);
        }
    }
    if (reported_running_until(share, policy) > now) {
        maximum.concurrency = std::max(maximum.concurrency, share.running);
    }
    return maximum;
}

share_amount committed_amount_of_others(
    const customer_lending& customer,
    const member::member_ref* except,
    const share_policy& policy,
    instant now
) {
    share_amount total;
    for (const auto& [holder, share] : customer.shares) {
        if (except == nullptr || holder != *except) {
            total = component_sum(total, committed_amount(share, policy, now));
        }
    }
    return total;
}

void drop_expired(
    customer_lending& customer, const share_policy& policy, instant now
) {
    for (auto at = customer.shares.begin(); at != customer.shares.end();) {
        lent_share& share = at->second;
        std::erase_if(share.grants, [&](const live_grant& grant) {
            return grant.running_until <= now;
        });
        const bool claimed_recently =
            share.claimed_at + policy.lifetime + policy.drift_margin > now;
        if (!claimed_recently) {
            share.demand = 0;
        }
        const bool used = !share.grants.empty() || claimed_recently ||
                          reported_running_until(share, policy) > now;
        at = used ? std::next(at) : customer.shares.erase(at);
    }
}

void update_pool(
    customer_lending& customer, const share_policy& policy, instant now
) {
    refill(customer.pool, now);
    const share_amount lent =
        committed_amount_of_others(customer, nullptr, policy, now);
    const share_amount free = saturating_subtract(customer.limit, lent);
    reshape(customer.pool, free.rate, free.burst * level_of_one_request);
}

void return_tokens(
    customer_lending& customer,
    std::uint64_t level,
    const share_policy& policy,
    instant now
) {
    update_pool(customer, policy, now);
    token_bucket& pool = customer.pool;
    pool.level += std::min(level, pool.capacity - pool.level);
}

void set_targets(
    customer_lending& customer, const share_policy& policy, instant now
) {
    std::vector<lent_share*> active = active_holders(customer, policy, now);
    std::vector<std::uint64_t> rates;
    std::vector<std::uint64_t> concurrency;
    for (lent_share* share : active) {
        rates.push_back(share->demand);
        concurrency.push_back(share->concurrency_demand);
    }
    rates = divide_rate(without_reserve(customer.limit.rate), rates, policy);
    const auto bursts =
        divide_proportionally(without_reserve(customer.limit.burst), rates);
    const auto concurrencies = divide_proportionally(
        without_reserve(customer.limit.concurrency), concurrency
    );
    for (std::size_t at = 0; at < active.size(); ++at) {
        share_amount& target = active[at]->target;
        target.rate = rates[at];
        target.burst = static_cast<std::uint32_t>(bursts[at]);
        target.concurrency = static_cast<std::uint32_t>(concurrencies[at]);
        // Below 10^15, so that the product fits into 64 bits for any rate.
        target.cross_region = static_cast<std::uint64_t>(
            static_cast<double>(customer.limit.cross_region) *
            (static_cast<double>(rates[at]) /
             static_cast<double>(std::max<std::uint64_t>(customer.limit.rate, 1)
             ))
        );
    }
}

share_amount available(
    const customer_lending& customer,
    const member::member_ref& holder,
    const share_policy& policy,
    instant now
) {
    const share_amount others =
        committed_amount_of_others(customer, &holder, policy, now);
    const share_amount free = policy.fault_lends_unreturned
                                  ? customer.limit
                                  : saturating_subtract(customer.limit, others);
    const share_amount amount =
        component_min(customer.shares.at(holder).target, free);
    return is_usable(amount) ? amount : share_amount{};
}

} // namespace apricotstile::share::internal
