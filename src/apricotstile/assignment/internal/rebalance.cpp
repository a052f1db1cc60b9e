// Moves ranges from the most loaded members to the least loaded ones until all
// members are within the tolerance or the round's limit of moves is reached.

#include <apricotstile/assignment/internal/rebalance.hpp>

#include <apricotstile/assignment/internal/owned_ranges.hpp>
#include <apricotstile/assignment/internal/planning.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/core/hashing.hpp>

#include <algorithm>

namespace apricotstile::assignment::internal {

namespace {

constexpr std::size_t max_moves_per_round = 64;
constexpr std::size_t max_hot_keys_considered = 11;
constexpr std::size_t max_exceptions_per_service = 64;
/// A key is hot if it alone causes at least this fraction of the mean load of
/// a member.
constexpr double hot_key_load_ratio = 0.05;
/// A key exception returns to its slice if the key causes less than this
/// fraction of the mean load of a member.
constexpr double cooled_key_load_ratio = 0.01;

struct rebalance_round {
    planner& state;
    load_distribution distribution;
    /// Members with more load are overloaded.
    double load_limit{0};
    std::size_t moves{0};
    /// Ranges of overloaded members, by member, heaviest first.
    std::map<member::member_ref, std::vector<range_with_load>> ranges;
    /// Overloaded members without a range whose move would reduce imbalance.
    std::set<member::member_ref> exhausted;
};

bool has_no_planned_move(const planner& planner, const range_id& range) {
    const auto* found = find_range(planner.map, range);
    return found == nullptr || found->next_owner == member::member_ref{};
}

member_load*
least_loaded(load_distribution& distribution, const service_id& service) {
    member_load* best = nullptr;
    for (member_load& one : distribution.members) {
        const bool usable =
            one.accepts_ranges && one.capacity.contains(service);
        if (usable && (best == nullptr || one.load < best->load)) {
            best = &one;
        }
    }
    return best;
}

/// Returns the most loaded member that isn't exhausted, or null.
member_load* most_loaded(rebalance_round& round) {
    member_load* most = nullptr;
    for (member_load& one : round.distribution.members) {
        const bool usable = !round.exhausted.contains(one.self);
        if (usable && (most == nullptr || one.load > most->load)) {
            most = &one;
        }
    }
    return most;
}

/// Queues a move of `range` to the least loaded member and updates the loads,
/// unless the move would overload that member. A key that is too hot for any
/// target stays where it is; other ranges of its owner are moved away instead.
bool try_move(
    rebalance_round& round, member_load& from, const range_with_load& range
) {
    member_load* to = least_loaded(round.distribution, range.range.service);
    if (to == nullptr || to == &from) {
        return false;
    }
    const double load_removed =
        relative_load(from, range.range.service, range.load);
    const double load_added =
        relative_load(*to, range.range.service, range.load);
    if (to->load + load_added > round.load_limit ||
        to->load + load_added >= from.load) {
        return false;
    }
    add_pending(round.state.moves, {range.range, from.self, range.load, false});
    from.load -= load_removed;
    to->load += load_added;
    ++round.moves;
    return true;
}

/// Returns the hottest reported keys, hottest first.
std::vector<range_with_load> hottest_reported_keys(const planner& planner) {
    std::vector<range_with_load> keys;
    for (const auto& [range, rate] : planner.load.keys) {
        keys.push_back({range, static_cast<double>(rate)});
    }
    std::sort(keys.begin(), keys.end(), [](const auto& a, const auto& b) {
        return a.load > b.load;
    });
    keys.resize(std::min(keys.size(), max_hot_keys_considered));
    return keys;
}

std::size_t exception_count(const planner& planner, const service_id& service) {
    const auto found = planner.map.services.find(service);
    return found == planner.map.services.end()
               ? 0
               : found->second.exceptions.size();
}

void propose_key_moves(rebalance_round& round) {
    planner& state = round.state;
    for (const range_with_load& one : hottest_reported_keys(state)) {
        const auto owner =
            find_owner(state.map, one.range.service, one.range.key);
        if (!owner || !has_no_planned_move(state, owner->range)) {
            continue;
        }
        auto* from = find_member(round.distribution, owner->assignment.owner);
        const bool overloaded =
            from != nullptr && from->load > round.load_limit;
        const bool hot =
            overloaded && relative_load(*from, one.range.service, one.load) >=
                              hot_key_load_ratio * round.distribution.mean_load;
        const bool below_exception_limit =
            exception_count(state, one.range.service) <
            max_exceptions_per_service;
        if (hot && below_exception_limit) {
            try_move(round, *from, one);
        }
    }
}

/// Records the key exceptions that should return to the owners of their slices
/// because the keys are no longer hot.
void collect_cooled_exceptions(rebalance_round& round) {
    for (const auto& [service, assigned] : round.state.map.services) {
        const auto count = static_cast<std::uint32_t>(assigned.slices.size());
        for (const key_exception& one : assigned.exceptions) {
            const range_id range{service, slice_of(one.key, count), one.key};
            auto* from = find_member(round.distribution, one.assignment.owner);
            const double load = load_of(round.state.load, range);
            const bool has_cooled =
                from != nullptr &&
                relative_load(*from, service, load) <
                    cooled_key_load_ratio * round.distribution.mean_load;
            if (has_cooled) {
                round.state.cooled_exceptions.insert(range);
            }
        }
    }
}

void collect_ranges(rebalance_round& round) {
    for (const member_load& one : round.distribution.members) {
        if (one.load > round.load_limit) {
            round.ranges.emplace(one.self, std::vector<range_with_load>{});
        }
    }
    const auto collect = [&](const range_id& range,
                             const slice_assignment& assignment) {
        const auto found = round.ranges.find(assignment.owner);
        const bool without_planned_move =
            assignment.next_owner == member::member_ref{};
        if (found != round.ranges.end() && without_planned_move) {
            found->second.push_back({range, load_of(round.state.load, range)});
        }
    };
    for (const auto& [service, assigned] : round.state.map.services) {
        const auto count = static_cast<std::uint32_t>(assigned.slices.size());
        for (std::uint32_t i = 0; i < count; ++i) {
            collect({service, slice_id{i}, {}}, assigned.slices[i]);
        }
        for (const key_exception& one : assigned.exceptions) {
            collect(
                {service, slice_of(one.key, count), one.key}, one.assignment
            );
        }
    }
    for (auto& [member, ranges] : round.ranges) {
        std::sort(
            ranges.begin(),
            ranges.end(),
            [](const range_with_load& a, const range_with_load& b) {
                return a.load != b.load ? a.load > b.load : a.range < b.range;
            }
        );
    }
}

/// Moves the heaviest range that the least loaded member can accept. Returns
/// false if there is none.
bool move_heaviest_range(rebalance_round& round, member_load& from) {
    auto found = round.ranges.find(from.self);
    if (found == round.ranges.end()) {
        return false;
    }
    auto& ranges = found->second;
    for (auto one = ranges.begin(); one != ranges.end(); ++one) {
        if (try_move(round, from, *one)) {
            ranges.erase(ranges.begin(), std::next(one));
            return true;
        }
    }
    return false;
}

void move_from_overloaded(rebalance_round& round) {
    collect_ranges(round);
    while (round.moves < max_moves_per_round) {
        member_load* from = most_loaded(round);
        if (from == nullptr || from->load <= round.load_limit) {
            return;
        }
        if (!move_heaviest_range(round, *from)) {
            // No further move reduces this member's load; try the others.
            round.exhausted.insert(from->self);
        }
    }
}

void erase_reported_keys(planner& planner, const member::member_ref& reporter) {
    std::erase_if(planner.key_reporters, [&](const auto& one) {
        const bool by_reporter = one.second == reporter;
        if (by_reporter) {
            planner.load.keys.erase(one.first);
        }
        return by_reporter;
    });
}

} // namespace

void propose_moves(planner& planner, instant now) {
    drop_pending_rebalance(planner.moves);
    update_base_slice_load(planner.load);
    rebalance_round round{
        planner, current_load_distribution(planner, now), 0, 0, {}, {}};
    round.load_limit = round.distribution.mean_load *
                       (1.0 + imbalance_tolerance(planner.weights));
    collect_cooled_exceptions(round);
    propose_key_moves(round);
    move_from_overloaded(round);
}

void apply_load_report(planner& planner, const load_report& report) {
    erase_reported_keys(planner, report.from);
    for (const service_load& service : report.services) {
        const auto found = planner.map.services.find(service.service);
        if (found == planner.map.services.end()) {
            continue;
        }
        const std::size_t count = found->second.slices.size();
        auto& rates = planner.load.slices[service.service];
        rates.resize(count);
        for (const slice_load& one : service.slices) {
            if (one.slice.value < count) {
                rates[one.slice.value] = one.requests_per_second;
            }
        }
        for (const key_load& one : service.keys) {
            const slice_id slice =
                slice_of(one.key, static_cast<std::uint32_t>(count));
            const range_id range{service.service, slice, one.key};
            planner.load.keys[range] = one.requests_per_second;
            planner.key_reporters[range] = report.from;
        }
    }
}

} // namespace apricotstile::assignment::internal
