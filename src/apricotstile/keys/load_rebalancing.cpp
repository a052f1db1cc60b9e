// Capacity reservations, and the division of load among offers.

#include <apricotstile/keys/load_rebalancing.hpp>

#include <algorithm>

namespace apricotstile::keys {

namespace {

/// Limits the speed ratio that is derived from mean service times, since they
/// also differ because the instances serve different mixes of requests.
constexpr double max_speed_ratio = 2.5;

/// Slots of the member that replace one slot of the owner.
double speed_ratio(duration member, duration owner) {
    if (member <= duration{0} || owner <= duration{0}) {
        return 1;
    }
    return std::clamp(
        static_cast<double>(member.count()) /
            static_cast<double>(owner.count()),
        1 / max_speed_ratio,
        max_speed_ratio
    );
}

} // namespace

double
excess_load(const rebalancing_policy& policy, const instance_load& load) {
    if (load.cold) {
        return 0;
    }
    const bool has_backlog =
        load.outstanding_requests > load.slots * policy.backlog_threshold;
    if (load.owned_key_load <= load.slots * policy.overload_threshold &&
        !has_backlog) {
        return 0;
    }
    const double excess =
        load.owned_key_load - load.slots * policy.target_utilization;
    const double min_moved =
        has_backlog ? load.owned_key_load * policy.min_moved_share : 0;
    const double wanted = std::max(excess, min_moved);
    return wanted < policy.min_moved_slots ? 0 : wanted;
}

double reserve_capacity(
    capacity_reservations& reservations,
    const rebalancing_policy& policy,
    const instance_load& load,
    const capacity_request_id& id,
    double wanted,
    instant now
) {
    double reserved = 0;
    for (auto one = reservations.reserved.begin();
         one != reservations.reserved.end();) {
        if (one->second.until <= now) {
            one = reservations.reserved.erase(one);
            continue;
        }
        reserved += one->second.slots;
        ++one;
    }
    const double used =
        std::max(load.owned_key_load, load.outstanding_requests);
    const double available =
        load.slots * policy.target_utilization - used - reserved;
    const double offered = std::min(available, wanted);
    if (load.cold || offered < policy.min_moved_slots) {
        return 0;
    }
    reservations.reserved[id] = {offered, now + policy.offer_timeout};
    return offered;
}

void claim_capacity(
    capacity_reservations& reservations,
    const rebalancing_policy& policy,
    const capacity_request_id& id,
    double slots,
    instant now
) {
    const auto found = reservations.reserved.find(id);
    if (found == reservations.reserved.end()) {
        return;
    }
    if (slots <= 0) {
        reservations.reserved.erase(found);
        return;
    }
    found->second = {slots, now + policy.claim_timeout};
}

std::vector<load_share> divide_load(
    const rebalancing_policy& policy,
    const instance_load& load,
    double wanted,
    std::vector<capacity_offer> offers
) {
    const auto owner_slots_for = [&](const capacity_offer& one) {
        return one.slots /
               speed_ratio(one.mean_service_time, load.mean_service_time);
    };
    std::stable_sort(
        offers.begin(),
        offers.end(),
        [&](const capacity_offer& left, const capacity_offer& right) {
            return owner_slots_for(left) > owner_slots_for(right);
        }
    );
    std::vector<load_share> result;
    for (const capacity_offer& one : offers) {
        const double given = std::min(wanted, owner_slots_for(one));
        if (result.size() >= policy.max_receivers ||
            given < policy.min_moved_slots) {
            break;
        }
        const double ratio =
            speed_ratio(one.mean_service_time, load.mean_service_time);
        result.push_back({one.member, given, given * ratio});
        wanted -= given;
    }
    return result;
}

} // namespace apricotstile::keys
