// Queue of moves of ranges. A move's target is chosen ("bound") as late as
// possible: the member that is expected to finish the move first. Only a few
// moves are outstanding at each member. Follows Algorithm 1 of the DYRS paper
// (see docs/ASSIGNMENT.md).

#ifndef APRICOTSTILE_ASSIGNMENT_MOVE_QUEUE_HPP
#define APRICOTSTILE_ASSIGNMENT_MOVE_QUEUE_HPP

#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_record.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace apricotstile::assignment {

/// Assumed duration of a move to a member that hasn't completed one yet.
constexpr duration default_move_time = std::chrono::milliseconds{200};

struct move_limits {
    /// Maximum number of unfinished moves to one target.
    std::uint32_t target_depth{2};
    /// The same limit for moves away from a leaving member. It is higher
    /// because these moves are released in batches.
    std::uint32_t leaving_target_depth{32};
    /// Maximum number of unfinished moves away from one member.
    std::uint32_t source_depth{32};
    /// Maximum number of unfinished moves in total.
    std::uint32_t active{256};
    /// Rate limit; moves away from a leaving member are exempt.
    double moves_per_second{16.0};
    /// If false, the target with the fewest unfinished moves is chosen instead
    /// of the one with the earliest expected finish.
    bool earliest_finish{true};
};

/// A range to be moved whose target isn't chosen yet.
struct pending_move {
    range_id range;
    member::member_ref from;
    /// Requests per second.
    double load{0};
    /// `from` is leaving, so the rate limit doesn't apply.
    bool source_is_leaving{false};
};

/// A move whose target is chosen.
struct active_move {
    range_id range;
    member::member_ref from;
    member::member_ref to;
    instant bound_at;
};

struct move_queue {
    /// In the order in which targets are chosen.
    std::deque<pending_move> pending;
    /// The ranges of `pending`.
    std::set<range_id> pending_ranges;
    std::map<range_id, active_move> active;
    /// Moving average of the duration of moves to each member.
    std::map<host_id, duration> move_times;
    /// Number of rebalancing moves that the rate limit allows now.
    double allowance{0};
    instant allowance_updated_at;
};

/// A member that ranges may be moved to.
struct move_target {
    member::member_ref self;
    /// Its current load, relative to its capacity.
    double load{0};
    /// Moves may raise `load` up to this value.
    double load_limit{0};
    /// Increase of `load` per request per second of a range.
    double load_factor{1.0};
};

/// Adds `move` unless the range has a pending or active move already.
void add_pending(move_queue& queue, const pending_move& move);

/// Chooses targets for as many pending moves of `service` as the limits allow
/// and returns these moves; the others stay pending. All `targets` must serve
/// `service`.
[[nodiscard]] std::vector<active_move> bind_moves(
    move_queue& queue,
    const service_id& service,
    const std::vector<move_target>& targets,
    const move_limits& limits,
    instant now
);

/// Removes the pending moves that only balance load.
void drop_pending_rebalance(move_queue& queue);

/// Removes an active move. If it `finished`, its duration updates the target's
/// moving average; otherwise it was cancelled.
void end_move(
    move_queue& queue, const range_id& range, bool finished, instant now
);

/// Returns how long the next move to `host` is expected to take.
[[nodiscard]] duration
expected_move_time(const move_queue& queue, host_id host);

} // namespace apricotstile::assignment

#endif
