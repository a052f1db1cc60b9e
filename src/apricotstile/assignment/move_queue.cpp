// Choice of targets by earliest expected finish. A pending move adds to the
// expected finish of its best target even if that target has reached its limit:
// the move then waits for the fast member rather than go to a slow idle one.

#include <apricotstile/assignment/move_queue.hpp>

#include <algorithm>
#include <optional>

namespace apricotstile::assignment {

namespace {

constexpr std::size_t max_pending_considered = 512;
/// Weight of the latest move in the moving average of a member.
constexpr double move_time_weight = 0.3;
/// Expected finish times in the same interval of this length count as equal;
/// the target with less load is preferred then.
constexpr duration finish_resolution = std::chrono::milliseconds{50};
/// Burst size of the rate limit, in seconds at the allowed rate.
constexpr double rate_burst_seconds = 1.0;

/// A target with its unfinished moves and the moves that wait for it.
struct target_state {
    move_target target;
    /// Number of unfinished moves to the target.
    std::uint32_t queued{0};
    duration expected_time;
    duration expected_finish;
};

void refill_allowance(
    move_queue& queue, const move_limits& limits, instant now
) {
    const double max_allowance = limits.moves_per_second * rate_burst_seconds;
    const double seconds =
        std::chrono::duration<double>(now - queue.allowance_updated_at).count();
    queue.allowance = std::min(
        max_allowance, queue.allowance + seconds * limits.moves_per_second
    );
    queue.allowance_updated_at = now;
}

std::vector<target_state> initial_target_states(
    const move_queue& queue, const std::vector<move_target>& targets
) {
    std::map<host_id, std::uint32_t> queued;
    for (const auto& [range, move] : queue.active) {
        ++queued[move.to.host];
    }
    std::vector<target_state> states;
    states.reserve(targets.size());
    for (const move_target& one : targets) {
        target_state state;
        state.target = one;
        state.queued = queued[one.self.host];
        state.expected_time = expected_move_time(queue, one.self.host);
        state.expected_finish = state.expected_time * (state.queued + 1);
        states.push_back(state);
    }
    return states;
}

bool has_capacity_for(const target_state& state, const pending_move& move) {
    const double after =
        state.target.load + move.load * state.target.load_factor;
    return after <= state.target.load_limit;
}

bool is_better_target(
    const target_state& a, const target_state& b, const move_limits& limits
) {
    if (!limits.earliest_finish) {
        return a.queued < b.queued;
    }
    const auto a_expected_finish = a.expected_finish / finish_resolution;
    const auto b_expected_finish = b.expected_finish / finish_resolution;
    return a_expected_finish != b_expected_finish
               ? a_expected_finish < b_expected_finish
               : a.target.load < b.target.load;
}

target_state* best_target(
    std::vector<target_state>& states,
    const pending_move& move,
    const move_limits& limits
) {
    target_state* best = nullptr;
    target_state* least_loaded = nullptr;
    for (target_state& one : states) {
        if (one.target.self.host == move.from.host) {
            continue;
        }
        if (least_loaded == nullptr ||
            one.target.load < least_loaded->target.load) {
            least_loaded = &one;
        }
        const bool better =
            best == nullptr || is_better_target(one, *best, limits);
        if (better && has_capacity_for(one, move)) {
            best = &one;
        }
    }
    // The ranges of a leaving member must move even if every target is over
    // its load limit.
    return best == nullptr && move.source_is_leaving ? least_loaded : best;
}

std::uint32_t
max_moves_per_target_for(const pending_move& move, const move_limits& limits) {
    return move.source_is_leaving ? limits.leaving_target_depth
                                  : limits.target_depth;
}

std::map<host_id, std::uint32_t> count_active_by_source(const move_queue& queue
) {
    std::map<host_id, std::uint32_t> counts;
    for (const auto& [range, move] : queue.active) {
        ++counts[move.from.host];
    }
    return counts;
}

bool is_within_rate(const move_queue& queue, const pending_move& move) {
    return move.source_is_leaving || queue.allowance >= 1.0;
}

void spend_allowance(move_queue& queue, const pending_move& move) {
    if (!move.source_is_leaving) {
        queue.allowance -= 1.0;
    }
}

} // namespace

void add_pending(move_queue& queue, const pending_move& move) {
    if (queue.active.contains(move.range)) {
        return;
    }
    if (queue.pending_ranges.insert(move.range).second) {
        queue.pending.push_back(move);
    }
}

void drop_pending_rebalance(move_queue& queue) {
    std::erase_if(queue.pending, [&](const pending_move& one) {
        if (!one.source_is_leaving) {
            queue.pending_ranges.erase(one.range);
        }
        return !one.source_is_leaving;
    });
}

std::vector<active_move> bind_moves(
    move_queue& queue,
    const service_id& service,
    const std::vector<move_target>& targets,
    const move_limits& limits,
    instant now
) {
    refill_allowance(queue, limits, now);
    auto states = initial_target_states(queue, targets);
    auto active_by_source = count_active_by_source(queue);
    std::vector<active_move> bound;
    std::deque<pending_move> unbound;
    std::size_t considered = 0;
    for (pending_move& move : queue.pending) {
        const bool full = queue.active.size() >= limits.active;
        const bool skip =
            move.range.service != service || full ||
            considered >= max_pending_considered ||
            !is_within_rate(queue, move) ||
            active_by_source[move.from.host] >= limits.source_depth;
        target_state* best = skip ? nullptr : best_target(states, move, limits);
        if (best == nullptr) {
            unbound.push_back(std::move(move));
            continue;
        }
        ++considered;
        best->expected_finish += best->expected_time;
        if (best->queued >= max_moves_per_target_for(move, limits)) {
            unbound.push_back(std::move(move));
            continue;
        }
        ++best->queued;
        ++active_by_source[move.from.host];
        best->target.load += move.load * best->target.load_factor;
        spend_allowance(queue, move);
        queue.pending_ranges.erase(move.range);
        const active_move active{move.range, move.from, best->target.self, now};
        queue.active.emplace(move.range, active);
        bound.push_back(active);
    }
    queue.pending = std::move(unbound);
    return bound;
}

void end_move(
    move_queue& queue, const range_id& range, bool finished, instant now
) {
    const auto found = queue.active.find(range);
    if (found == queue.active.end()) {
        return;
    }
    if (finished) {
        const host_id host = found->second.to.host;
        const auto before = expected_move_time(queue, host);
        const auto latest = now - found->second.bound_at;
        const auto change = std::chrono::duration<double, std::nano>(
            move_time_weight * static_cast<double>((latest - before).count())
        );
        queue.move_times[host] =
            before + std::chrono::duration_cast<duration>(change);
    }
    queue.active.erase(found);
}

duration expected_move_time(const move_queue& queue, host_id host) {
    const auto found = queue.move_times.find(host);
    return found == queue.move_times.end() ? default_move_time : found->second;
}

} // namespace apricotstile::assignment
