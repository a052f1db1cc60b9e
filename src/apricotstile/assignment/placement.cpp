// Greedy placement by relative load: the heaviest range first, each to the
// member that is least loaded with it.

#include <apricotstile/assignment/placement.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <queue>

namespace apricotstile::assignment {

namespace {

double slice_load_of(const observed_load& load, const range_id& range) {
    const auto found = load.slices.find(range.service);
    const bool reported =
        found != load.slices.end() && range.slice.value < found->second.size();
    const double rate =
        reported ? static_cast<double>(found->second[range.slice.value]) : 0.0;
    return rate + load.idle;
}

placement_member make_member(
    const member::member_record& record, const warm_since& seen, instant now
) {
    placement_member result;
    result.self = record.self;
    result.takes_ranges = record.state == member::member_state::active;
    const auto found = seen.find(record.self);
    const double factor =
        found == seen.end() ? 1.0 : ramp_factor(found->second, now);
    for (const member::served_service& one : record.services) {
        const double slots = std::max<std::uint32_t>(one.slots, 1);
        result.capacity[one.service] = slots * factor;
    }
    return result;
}

void count_load(
    placement& places,
    const range_id& range,
    const slice_assignment& assignment,
    const observed_load& load
) {
    auto* member = find_member(places, assignment.owner);
    if (member != nullptr) {
        member->load += share_of(*member, range.service, load_of(load, range));
    }
}

void count_service(
    placement& places,
    const service_id& service,
    const service_assignment& assigned,
    const observed_load& load
) {
    range_id range{service, {}, {}};
    const auto count = static_cast<std::uint32_t>(assigned.slices.size());
    for (std::uint32_t i = 0; i < count; ++i) {
        range.slice.value = i;
        count_load(places, range, assigned.slices[i], load);
    }
    for (const key_exception& one : assigned.exceptions) {
        const range_id key{service, slice_of(one.key, count), one.key};
        count_load(places, key, one.assignment, load);
    }
}

void count_mean(placement& places) {
    double sum = 0;
    std::size_t count = 0;
    for (const placement_member& one : places.members) {
        if (one.takes_ranges) {
            sum += one.load;
            ++count;
        }
    }
    places.mean_load = count == 0 ? 0 : sum / static_cast<double>(count);
}

struct place_candidate {
    double load{0};
    std::size_t member{0};

    friend auto
    operator<=>(const place_candidate&, const place_candidate&) = default;
};

using place_queue = std::priority_queue<
    place_candidate,
    std::vector<place_candidate>,
    std::greater<>>;

place_queue queue_for(const placement& places, const service_id& service) {
    place_queue queue;
    for (std::size_t i = 0; i < places.members.size(); ++i) {
        const placement_member& one = places.members[i];
        if (one.takes_ranges && one.capacity.contains(service)) {
            queue.push({one.load, i});
        }
    }
    return queue;
}

/// Places ranges of one service, heaviest first.
void place_service(
    placement& places,
    const std::vector<range_with_load>& ranges,
    std::vector<placed_range>& placed
) {
    place_queue queue = queue_for(places, ranges.front().range.service);
    for (const range_with_load& one : ranges) {
        if (queue.empty()) {
            return;
        }
        const place_candidate best = queue.top();
        queue.pop();
        placement_member& member = places.members[best.member];
        member.load += share_of(member, one.range.service, one.load);
        placed.push_back({one.range, member.self});
        queue.push({member.load, best.member});
    }
}

} // namespace

double ramp_factor(instant seen, instant now) {
    const double age = std::chrono::duration<double>(now - seen).count();
    const double whole = std::chrono::duration<double>(ramp_time).count();
    return std::clamp(age / whole, ramp_start, 1.0);
}

void update_idle_load(observed_load& load) {
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [service, rates] : load.slices) {
        for (const float rate : rates) {
            sum += static_cast<double>(rate);
        }
        count += rates.size();
    }
    load.idle = sum > 0 ? idle_slice_share * sum / static_cast<double>(count)
                        : idle_slice_load;
}

double load_of(const observed_load& load, const range_id& range) {
    if (range.key.empty()) {
        return slice_load_of(load, range);
    }
    const auto found = load.keys.find(range);
    return found == load.keys.end() ? 0.0 : static_cast<double>(found->second);
}

placement make_placement(
    const std::map<host_id, member::member_record>& records,
    const warm_since& seen,
    const assignment_map& map,
    const observed_load& load,
    instant now
) {
    placement places;
    for (const auto& [host, record] : records) {
        places.members.push_back(make_member(record, seen, now));
    }
    for (const auto& [service, assigned] : map.services) {
        count_service(places, service, assigned, load);
    }
    count_mean(places);
    return places;
}

placement_member*
find_member(placement& places, const member::member_ref& member) {
    const auto found = std::lower_bound(
        places.members.begin(),
        places.members.end(),
        member.host,
        [](const placement_member& one, host_id host) {
            return one.self.host < host;
        }
    );
    if (found == places.members.end() || found->self != member) {
        return nullptr;
    }
    return &*found;
}

double share_of(
    const placement_member& member, const service_id& service, double load
) {
    const auto found = member.capacity.find(service);
    return found == member.capacity.end() ? load : load / found->second;
}

std::vector<placed_range>
place_ranges(placement& places, std::vector<range_with_load> ranges) {
    std::sort(
        ranges.begin(),
        ranges.end(),
        [](const range_with_load& a, const range_with_load& b) {
            if (a.range.service != b.range.service) {
                return a.range.service < b.range.service;
            }
            return a.load != b.load ? a.load > b.load : a.range < b.range;
        }
    );
    std::vector<placed_range> placed;
    auto first = ranges.begin();
    while (first != ranges.end()) {
        const auto last = std::find_if(first, ranges.end(), [&](auto& one) {
            return one.range.service != first->range.service;
        });
        place_service(places, {first, last}, placed);
        first = last;
    }
    return placed;
}

double imbalance_of(const placement& places) {
    double largest = 0;
    for (const placement_member& one : places.members) {
        if (one.takes_ranges) {
            largest = std::max(largest, one.load);
        }
    }
    return places.mean_load == 0 ? 1.0 : largest / places.mean_load;
}

bool is_lost(
    const std::map<host_id, member::member_record>& records,
    const member::member_ref& owner
) {
    const auto found = records.find(owner.host);
    if (found == records.end()) {
        return false;
    }
    const member::member_record& record = found->second;
    if (record.self.incarnation != owner.incarnation) {
        return record.self.incarnation > owner.incarnation;
    }
    return record.state == member::member_state::deposed ||
           record.state == member::member_state::left;
}

} // namespace apricotstile::assignment
