// Capacity reservations, and the division of load among offers.

#include <apricotstile/keys/relief.hpp>

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
wanted_relief(const relief_policy& policy, const key_service_load& load) {
    const bool has_backlog = load.work > load.slots * policy.backlog_threshold;
    if (load.demand <= load.slots * policy.overload_threshold && !has_backlog) {
        return 0;
    }
    const double excess = load.demand - load.slots * policy.target_utilization;
    const double min_moved =
        has_backlog ? load.demand * policy.min_moved_share : 0;
    const double wanted = std::max(excess, min_moved);
    return wanted < policy.min_moved_slots ? 0 : wanted;
}

double offer_room(
    room_book& book,
    const relief_policy& policy,
    const key_service_load& load,
    const capacity_request_id& id,
    double wanted,
    instant now
) {
    double reserved = 0;
    for (auto one = book.reserved.begin(); one != book.reserved.end();) {
        if (one->second.until <= now) {
            one = book.reserved.erase(one);
            continue;
        }
        reserved += one->second.slots;
        ++one;
    }
    const double used = std::max(load.demand, load.work);
    const double available =
        load.slots * policy.target_utilization - used - reserved;
    const double offered = std::min(available, wanted);
    if (offered < policy.min_moved_slots) {
        return 0;
    }
    book.reserved[id] = {offered, now + policy.offer_timeout};
    return offered;
}

void claim_room(
    room_book& book,
    const relief_policy& policy,
    const capacity_request_id& id,
    double slots,
    instant now
) {
    const auto found = book.reserved.find(id);
    if (found == book.reserved.end()) {
        return;
    }
    if (slots <= 0) {
        book.reserved.erase(found);
        return;
    }
    found->second = {slots, now + policy.claim_timeout};
}

std::vector<relief_part> divide_relief(
    const relief_policy& policy,
    const key_service_load& load,
    double wanted,
    std::vector<room_offer> offers
) {
    const auto owner_slots_for = [&](const room_offer& one) {
        return one.slots / speed_ratio(one.mean_service, load.mean_service);
    };
    std::stable_sort(
        offers.begin(),
        offers.end(),
        [&](const room_offer& left, const room_offer& right) {
            return owner_slots_for(left) > owner_slots_for(right);
        }
    );
    std::vector<relief_part> result;
    for (const room_offer& one : offers) {
        const double given = std::min(wanted, owner_slots_for(one));
        if (result.size() >= policy.max_receivers ||
            given < policy.min_moved_slots) {
            break;
        }
        const double ratio = speed_ratio(one.mean_service, load.mean_service);
        result.push_back({one.member, given, given * ratio});
        wanted -= given;
    }
    return result;
}

} // namespace apricotstile::keys
