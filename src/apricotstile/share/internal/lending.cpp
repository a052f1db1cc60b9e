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
    std::vector<std::uint64_t> shares = divide(total, demands);
    std::uint64_t left = total;
    std::vector<std::uint64_t> headroom;
    for (std::size_t at = 0; at < demands.size(); ++at) {
        left -= shares[at];
        headroom.push_back(demands[at] * policy.headroom_percent / 100);
    }
    const std::vector<std::uint64_t> more = divide(left, headroom);
    for (std::size_t at = 0; at < demands.size(); ++at) {
        shares[at] += more[at];
    }
    return shares;
}

/// The holders that get a share now. When the burst or concurrency limit is
/// lower than the number of holders with demand, a rotating subset.
std::vector<lent_share*> active_holders(
    lent_customer& customer, const share_policy& policy, instant now
) {
    std::vector<lent_share*> wanting;
    for (auto& [holder, share] : customer.shares) {
        share.target = {};
        if (share.demand > 0) {
            wanting.push_back(&share);
        }
    }
    const std::size_t places = std::min<std::size_t>(
        {wanting.size(), customer.limit.burst, customer.limit.concurrency}
    );
    if (places < wanting.size() && places > 0) {
        const auto rotation_index = static_cast<std::size_t>(
            now.time_since_epoch() / policy.rotation_interval
        );
        const std::size_t first = rotation_index * places % wanting.size();
        std::rotate(
            wanting.begin(),
            wanting.begin() + static_cast<std::ptrdiff_t>(first),
            wanting.end()
        );
    }
    wanting.resize(places);
    return wanting;
}

} // namespace

share_amount
committed(const lent_share& share, const share_policy& policy, instant now) {
    share_amount most;
    for (const live_grant& grant : share.grants) {
        if (grant.admit_until > now) {
            most = component_max(most, grant.amount);
        } else if (grant.running_until > now) {
            most.concurrency =
                std::max(most.concurrency, grant.amount.concurrency);
        }
    }
    if (reported_running_until(share, policy) > now) {
        most.concurrency = std::max(most.concurrency, share.running);
    }
    return most;
}

share_amount committed_to_others(
    const lent_customer& customer,
    const member::member_ref* except,
    const share_policy& policy,
    instant now
) {
    share_amount total;
    for (const auto& [holder, share] : customer.shares) {
        if (except == nullptr || holder != *except) {
            total = component_sum(total, committed(share, policy, now));
        }
    }
    return total;
}

void drop_expired(
    lent_customer& customer, const share_policy& policy, instant now
) {
    for (auto at = customer.shares.begin(); at != customer.shares.end();) {
        lent_share& share = at->second;
        std::erase_if(share.grants, [&](const live_grant& grant) {
            return grant.running_until <= now;
        });
        const bool heard =
            share.claimed_at + policy.lifetime + policy.drift_margin > now;
        if (!heard) {
            share.demand = 0;
        }
        const bool used = !share.grants.empty() || heard ||
                          reported_running_until(share, policy) > now;
        at = used ? std::next(at) : customer.shares.erase(at);
    }
}

void fit_pool(
    lent_customer& customer, const share_policy& policy, instant now
) {
    refill(customer.pool, now);
    const share_amount lent =
        committed_to_others(customer, nullptr, policy, now);
    const share_amount free = saturating_subtract(customer.limit, lent);
    reshape(customer.pool, free.rate, free.burst * level_of_one_request);
}

void return_tokens(
    lent_customer& customer,
    std::uint64_t level,
    const share_policy& policy,
    instant now
) {
    fit_pool(customer, policy, now);
    token_bucket& pool = customer.pool;
    pool.level += std::min(level, pool.capacity - pool.level);
}

void set_targets(
    lent_customer& customer, const share_policy& policy, instant now
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
        divide_whole(without_reserve(customer.limit.burst), rates);
    const auto places =
        divide_whole(without_reserve(customer.limit.concurrency), concurrency);
    for (std::size_t at = 0; at < active.size(); ++at) {
        share_amount& target = active[at]->target;
        target.rate = rates[at];
        target.burst = static_cast<std::uint32_t>(bursts[at]);
        target.concurrency = static_cast<std::uint32_t>(places[at]);
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
    const lent_customer& customer,
    const member::member_ref& holder,
    const share_policy& policy,
    instant now
) {
    const share_amount others =
        committed_to_others(customer, &holder, policy, now);
    const share_amount free = policy.fault_lends_unreturned
                                  ? customer.limit
                                  : saturating_subtract(customer.limit, others);
    const share_amount amount =
        component_min(customer.shares.at(holder).target, free);
    return is_usable(amount) ? amount : share_amount{};
}

} // namespace apricotstile::share::internal
