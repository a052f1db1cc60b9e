// The queue of planned moves. A move's target is bound as late as possible,
// to the member expected to finish it earliest, and only a few moves wait at
// each member, after Algorithm 1 of the DYRS paper (see docs/ASSIGNMENT.md).

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

/// How long a move takes while none has been seen to finish.
constexpr duration default_move_time = std::chrono::milliseconds{200};

struct move_limits {
    /// Moves bound to one target and not finished.
    std::uint32_t target_depth{2};
    /// The same for moves that empty a leaving member: they go in batches.
    std::uint32_t leaving_target_depth{32};
    /// Moves away from one member and not finished.
    std::uint32_t source_depth{32};
    /// All moves not finished.
    std::uint32_t active{256};
    /// Moves that don't empty a leaving member, a second.
    double moves_per_second{16.0};
    /// False takes any target with room in place of the earliest finish.
    bool earliest_finish{true};
};

/// A range that has to go elsewhere; its target isn't chosen yet.
struct pending_move {
    range_id range;
    member::member_ref from;
    double load{0};
    /// The member leaves; the rate limit doesn't apply.
    bool source_is_leaving{false};
};

/// A move whose target is bound.
struct active_move {
    range_id range;
    member::member_ref from;
    member::member_ref to;
    instant bound_at;
};

struct move_queue {
    /// In the order in which they are bound.
    std::deque<pending_move> pending;
    /// The ranges of `pending`.
    std::set<range_id> pending_ranges;
    std::map<range_id, active_move> active;
    /// How long a move to each member took lately.
    std::map<host_id, duration> move_times;
    /// Rebalancing moves that may be bound now.
    double allowance{0};
    instant allowance_updated_at;
};

/// A member that may take moves.
struct move_target {
    member::member_ref self;
    /// Its load now and the most that moves may raise it to.
    double load{0};
    double load_limit{0};
    /// What a unit of a range's load adds.
    double load_factor{1.0};
};

/// Adds `move` unless the range is pending or active already.
void add_pending(move_queue& queue, const pending_move& move);

/// Binds as many pending moves as the limits allow and returns them; the
/// rest stay pending. `targets` serve the moves' service.
[[nodiscard]] std::vector<active_move> bind_moves(
    move_queue& queue,
    const service_id& service,
    const std::vector<move_target>& targets,
    const move_limits& limits,
    instant now
);

/// Forgets the pending moves that only even out load.
void drop_pending_rebalance(move_queue& queue);

/// Ends an active move; when it was `finished` its time is remembered.
void end_move(
    move_queue& queue, const range_id& range, bool finished, instant now
);

/// How long the next move to `host` is expected to take.
[[nodiscard]] duration
expected_move_time(const move_queue& queue, host_id host);

} // namespace apricotstile::assignment

#endif
