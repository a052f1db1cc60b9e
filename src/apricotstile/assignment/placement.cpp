// Greedy placement by relative load: the heaviest range first, each to the
// least loaded member.

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
    return rate + load.base_slice_load;
}

member_load make_member_load(
    const member::member_record& record,
    const first_seen_times& first_seen,
    instant now
) {
    member_load result;
    result.self = record.self;
    result.accepts_ranges = record.state == member::member_state::active;
    const auto found = first_seen.find(record.self);
    const double factor =
        found == first_seen.end() ? 1.0 : ramp_up_factor(found->second, now);
    for (const member::served_service& one : record.services) {
        const double slots = std::max<std::uint32_t>(one.slots, 1);
        result.capacity[one.service] = slots * factor;
    }
    return result;
}

void add_range_load(
    load_distribution& distribution,
    const range_id& range,
    const slice_assignment& assignment,
    const observed_load& load
) {
    auto* member = find_member(distribution, assignment.owner);
    if (member != nullptr) {
        member->load +=
            relative_load(*member, range.service, load_of(load, range));
    }
}

void add_service_load(
    load_distribution& distribution,
    const service_id& service,
    const service_assignment& assigned,
    const observed_load& load
) {
    range_id range{service, {}, {}};
    const auto count = static_cast<std::uint32_t>(assigned.slices.size());
    for (std::uint32_t i = 0; i < count; ++i) {
        range.slice.value = i;
        add_range_load(distribution, range, assigned.slices[i], load);
    }
    for (const key_exception& one : assigned.exceptions) {
        const range_id key{service, slice_of(one.key, count), one.key};
        add_range_load(distribution, key, one.assignment, load);
    }
}

void compute_mean_load(load_distribution& distribution) {
    double sum = 0;
    std::size_t count = 0;
    for (const member_load& one : distribution.members) {
        if (one.accepts_ranges) {
            sum += one.load;
            ++count;
        }
    }
    distribution.mean_load = count == 0 ? 0 : sum / static_cast<double>(count);
}

struct place_candidate {
    double load{0};
    std::size_t member{0};

    friend auto
    operator<=>(const place_candidate&, const place_candidate&) = default;
};

using least_loaded_queue = std::priority_queue<
    place_candidate,
    std::vector<place_candidate>,
    std::greater<>>;

least_loaded_queue
make_queue(const load_distribution& distribution, const service_id& service) {
    least_loaded_queue queue;
    for (std::size_t i = 0; i < distribution.members.size(); ++i) {
        const member_load& one = distribution.members[i];
        if (one.accepts_ranges && one.capacity.contains(service)) {
            queue.push({one.load, i});
        }
    }
    return queue;
}

/// Places ranges of one service, which are sorted by falling load.
void place_service_ranges(
    load_distribution& distribution,
    const std::vector<range_with_load>& ranges,
    std::vector<placed_range>& placed
) {
    least_loaded_queue queue =
        make_queue(distribution, ranges.front().range.service);
    for (const range_with_load& one : ranges) {
        if (queue.empty()) {
            return;
        }
        const place_candidate best = queue.top();
        queue.pop();
        member_load& member = distribution.members[best.member];
        member.load += relative_load(member, one.range.service, one.load);
        placed.push_back({one.range, member.self});
        queue.push({member.load, best.member});
    }
}

} // namespace

double ramp_up_factor(instant seen, instant now) {
    const double age = std::chrono::duration<double>(now - seen).count();
    const double full_ramp_up =
        std::chrono::duration<double>(ramp_up_time).count();
    return std::clamp(age / full_ramp_up, initial_ramp_up_factor, 1.0);
}

void update_base_slice_load(observed_load& load) {
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [service, rates] : load.slices) {
        for (const float rate : rates) {
            sum += static_cast<double>(rate);
        }
        count += rates.size();
    }
    load.base_slice_load =
        sum > 0 ? base_slice_load_ratio * sum / static_cast<double>(count)
                : default_base_slice_load;
}

double load_of(const observed_load& load, const range_id& range) {
    if (range.key.empty()) {
        return slice_load_of(load, range);
    }
    const auto found = load.keys.find(range);
    return found == load.keys.end() ? 0.0 : static_cast<double>(found->second);
}

load_distribution compute_load_distribution(
    const std::map<host_id, member::member_record>& records,
    const first_seen_times& first_seen,
    const assignment_map& map,
    const observed_load& load,
    instant now
) {
    load_distribution distribution;
    for (const auto& [host, record] : records) {
        distribution.members.push_back(make_member_load(record, first_seen, now)
        );
    }
    for (const auto& [service, assigned] : map.services) {
        add_service_load(distribution, service, assigned, load);
    }
    compute_mean_load(distribution);
    return distribution;
}

member_load*
find_member(load_distribution& distribution, const member::member_ref& member) {
    const auto found = std::lower_bound(
        distribution.members.begin(),
        distribution.members.end(),
        member.host,
        [](const member_load& one, host_id host) {
            return one.self.host < host;
        }
    );
    if (found == distribution.members.end() || found->self != member) {
        return nullptr;
    }
    return &*found;
}

double relative_load(
    const member_load& member, const service_id& service, double load
) {
    const auto found = member.capacity.find(service);
    return found == member.capacity.end() ? load : load / found->second;
}

std::vector<placed_range> place_ranges(
    load_distribution& distribution, std::vector<range_with_load> ranges
) {
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
        place_service_ranges(distribution, {first, last}, placed);
        first = last;
    }
    return placed;
}

double load_imbalance(const load_distribution& distribution) {
    double largest = 0;
    for (const member_load& one : distribution.members) {
        if (one.accepts_ranges) {
            largest = std::max(largest, one.load);
        }
    }
    return distribution.mean_load == 0 ? 1.0 : largest / distribution.mean_load;
}

bool is_former_member(
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
