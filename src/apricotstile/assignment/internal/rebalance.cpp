// Moves go from the most loaded members to the least loaded ones until all
// are within the tolerance or the round's number of moves is used up.

#include <apricotstile/assignment/internal/rebalance.hpp>

#include <apricotstile/assignment/internal/owned_ranges.hpp>
#include <apricotstile/assignment/internal/planning.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/core/hashing.hpp>

#include <algorithm>

namespace apricotstile::assignment::internal {

namespace {

constexpr std::size_t max_moves_per_round = 64;
constexpr std::size_t max_hot_keys = 11;
constexpr std::size_t max_exceptions = 64;
/// A key is hot when it alone makes this share of the mean member's load.
constexpr double hot_key_share = 0.05;
/// An exception whose key falls below this share goes back to its slice.
constexpr double cool_key_share = 0.01;

struct rebalance_round {
    planner& state;
    load_distribution distribution;
    double limit{0};
    std::size_t moves{0};
    /// Ranges of overloaded members, by member, heaviest first.
    std::map<member::member_ref, std::vector<range_with_load>> ranges;
    /// Overloaded members with nothing left that helps.
    std::set<member::member_ref> exhausted;
};

bool is_still(const planner& planner, const range_id& range) {
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

/// The most loaded member that may still have something to give away.
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

/// Counts the move in the round's loads unless it overloads its target. A key
/// too hot for any target stays; its neighbours are moved away instead.
bool try_move(
    rebalance_round& round, member_load& from, const range_with_load& range
) {
    member_load* to = least_loaded(round.distribution, range.range.service);
    if (to == nullptr || to == &from) {
        return false;
    }
    const double given = relative_load(from, range.range.service, range.load);
    const double taken = relative_load(*to, range.range.service, range.load);
    if (to->load + taken > round.limit || to->load + taken >= from.load) {
        return false;
    }
    add_pending(round.state.moves, {range.range, from.self, range.load, false});
    from.load -= given;
    to->load += taken;
    ++round.moves;
    return true;
}

/// The hottest reported keys, hottest first.
std::vector<range_with_load> hottest_keys(const planner& planner) {
    std::vector<range_with_load> keys;
    for (const auto& [range, rate] : planner.load.keys) {
        keys.push_back({range, static_cast<double>(rate)});
    }
    std::sort(keys.begin(), keys.end(), [](const auto& a, const auto& b) {
        return a.load > b.load;
    });
    keys.resize(std::min(keys.size(), max_hot_keys));
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
    for (const range_with_load& one : hottest_keys(state)) {
        const auto owner =
            find_owner(state.map, one.range.service, one.range.key);
        if (!owner || !is_still(state, owner->range)) {
            continue;
        }
        auto* from = find_member(round.distribution, owner->assignment.owner);
        const bool overloaded = from != nullptr && from->load > round.limit;
        const bool hot =
            overloaded && relative_load(*from, one.range.service, one.load) >=
                              hot_key_share * round.distribution.mean_load;
        const bool room =
            exception_count(state, one.range.service) < max_exceptions;
        if (hot && room) {
            try_move(round, *from, one);
        }
    }
}

/// Sends exceptions whose keys have cooled back to their slices' owners.
void propose_returns(rebalance_round& round) {
    for (const auto& [service, assigned] : round.state.map.services) {
        const auto count = static_cast<std::uint32_t>(assigned.slices.size());
        for (const key_exception& one : assigned.exceptions) {
            const range_id range{service, slice_of(one.key, count), one.key};
            auto* from = find_member(round.distribution, one.assignment.owner);
            const double load = load_of(round.state.load, range);
            const bool cool = from != nullptr &&
                              relative_load(*from, service, load) <
                                  cool_key_share * round.distribution.mean_load;
            if (cool) {
                round.state.cooled_exceptions.insert(range);
            }
        }
    }
}

void collect_ranges(rebalance_round& round) {
    for (const member_load& one : round.distribution.members) {
        if (one.load > round.limit) {
            round.ranges.emplace(one.self, std::vector<range_with_load>{});
        }
    }
    const auto collect = [&](const range_id& range,
                             const slice_assignment& assignment) {
        const auto found = round.ranges.find(assignment.owner);
        const bool still = assignment.next_owner == member::member_ref{};
        if (found != round.ranges.end() && still) {
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

/// Moves the heaviest range that helps; false when none does.
bool relieve(rebalance_round& round, member_load& from) {
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

void relieve_overloaded(rebalance_round& round) {
    collect_ranges(round);
    while (round.moves < max_moves_per_round) {
        member_load* from = most_loaded(round);
        if (from == nullptr || from->load <= round.limit) {
            return;
        }
        if (!relieve(round, *from)) {
            // Nothing more helps here; look at the others.
            round.exhausted.insert(from->self);
        }
    }
}

void forget_old_keys(planner& planner, const member::member_ref& reporter) {
    std::erase_if(planner.key_reporters, [&](const auto& one) {
        const bool replaced = one.second == reporter;
        if (replaced) {
            planner.load.keys.erase(one.first);
        }
        return replaced;
    });
}

} // namespace

void propose_moves(planner& planner, instant now) {
    drop_pending_rebalance(planner.moves);
    update_base_slice_load(planner.load);
    rebalance_round round{
        planner, current_load_distribution(planner, now), 0, 0, {}, {}};
    round.limit = round.distribution.mean_load *
                  (1.0 + imbalance_tolerance(planner.weights));
    propose_returns(round);
    propose_key_moves(round);
    relieve_overloaded(round);
}

void apply_load_report(planner& planner, const load_report& report) {
    forget_old_keys(planner, report.from);
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
