// The owner's side of planned moves: it stops dispatching, waits until requests
// in flight have finished, and releases the range with its own transaction. If
// the answer to that transaction is lost, it reads the rows to learn the
// outcome before it may serve the range again.

#ifndef APRICOTSTILE_ASSIGNMENT_OWNER_HPP
#define APRICOTSTILE_ASSIGNMENT_OWNER_HPP

#include <apricotstile/assignment/map_reader.hpp>
#include <apricotstile/assignment/share_change.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace apricotstile::assignment {

using namespace std::chrono_literals;

/// The longest time after its submission at which the store may still execute a
/// write whose answer was lost.
constexpr duration max_store_write_delay = 5s;
/// A move whose requests in flight take longer is abandoned by the owner, which
/// serves the range again; the planner then cancels the move.
constexpr duration range_drain_timeout = 10s;
/// How long a leaving daemon waits for the planner to choose targets before it
/// chooses them itself.
constexpr duration planner_target_timeout = 1s;
/// A leaving daemon dispatches nothing once this time has passed since it was
/// told to leave.
constexpr duration leave_grace_period = 2s;
constexpr std::size_t max_ranges_draining = 64;
constexpr std::size_t max_chunks_per_release = 32;

enum class release_phase : std::uint8_t {
    /// Requests are in flight.
    draining,
    /// No requests are in flight; the release can be submitted.
    drained,
    /// The release was submitted and isn't answered yet, or its answer was lost
    /// and its outcome isn't known yet.
    releasing
};

/// A range that is being handed over to another member. Requests for it aren't
/// dispatched here.
struct range_release {
    member::member_ref to;
    /// The token under which this member owned the range.
    fencing_token token;
    /// The token that the submitted release assigns to the next owner.
    fencing_token next_token;
    /// Passed with `stop_dispatching` and returned with `range_drained`, so
    /// that an answer to an earlier attempt isn't taken for this one's.
    std::uint64_t attempt{0};
    release_phase phase{release_phase::draining};
    instant started_at;
    /// Whether this daemon chose the target because the planner didn't.
    bool target_chosen_here{false};
};

struct release_transaction {
    platform::operation_id id;
    map_change change;
    std::vector<range_id> ranges;
    /// The version of the head row that the transaction is conditional on.
    platform::row_version head_row_version;
    instant submitted_at;
    /// Whether the answer was lost, so that the rows have to be read.
    bool outcome_unknown{false};
};

struct owner_state {
    member::member_ref self;
    std::map<range_id, range_release> releases;
    /// The token of each range's last release. The range isn't served under
    /// this token again, even if the map is older than the release.
    std::map<range_id, fencing_token> ended;
    /// The targets of the moves that the map plans for this member's ranges.
    std::map<range_id, member::member_ref> planned_targets;
    /// The targets of abandoned moves. Such a move isn't started again until
    /// the planner plans another target or cancels it.
    std::map<range_id, member::member_ref> refused;
    map_reader reader;
    /// When the latest read was requested.
    instant read_requested_at;
    std::optional<release_transaction> sent;
    instant retry_at;
    std::optional<instant> leaving_since;
    /// Once true, this incarnation dispatches nothing more, whatever the map
    /// says: other members may consider its ranges unowned.
    bool told_all_released{false};
    /// The candidates for taking over a leaving daemon's ranges.
    std::vector<member::member_record> members;
    std::uint64_t last_attempt{0};
    platform::operation_id last_id;
};

/// Sent about every 50 ms.
struct owner_tick {};

/// The follower has published a newer map; `changes` as in `publish_map`.
struct owner_map_changed {
    std::vector<map_change> changes;
};

/// No request for the range is in flight at the upstream and none will be
/// dispatched, as requested by `stop_dispatching` with this attempt. For a
/// single key this includes requests dispatched while the key was still part of
/// its slice.
struct range_drained {
    range_id range;
    std::uint64_t attempt{0};
};

/// The daemon shall release all its ranges and stop.
struct leave_requested {};

struct owner_members_changed {
    std::vector<member::member_record> members;
};

using owner_event = std::variant<
    owner_tick,
    owner_map_changed,
    range_drained,
    leave_requested,
    owner_members_changed,
    platform::transaction_done,
    platform::rows_read>;

/// Dispatch no more requests for the range, and answer with `range_drained`
/// once none is in flight.
struct stop_dispatching {
    range_id range;
    std::uint64_t attempt{0};
    member::member_ref to;
};

/// The move ended without a release: cancel the drain. `decide_dispatch` tells
/// whether the range is served here again.
struct resume_dispatching {
    range_id range;
};

/// The range has drained: send its record of request ids to `to`. The release
/// is submitted after this.
struct hand_over_range {
    range_id range;
    member::member_ref to;
};

/// The range's release took effect, or the range was assigned to another
/// member meanwhile.
struct range_released {
    range_id range;
    member::member_ref to;
    /// The token of `to`, if the release took effect.
    fencing_token token;
};

/// The leaving daemon owns no ranges any more.
struct all_released {};

using owner_action = std::variant<
    stop_dispatching,
    resume_dispatching,
    hand_over_range,
    range_released,
    share_change,
    all_released,
    platform::submit_transaction,
    platform::read_rows>;
using owner_actions = std::vector<owner_action>;

/// Handles one event and returns the actions to perform. `map` is the
/// follower's map. `owner.self` must be set. Not thread-safe.
[[nodiscard]] owner_actions step(
    owner_state& owner,
    const assignment_map& map,
    const owner_event& event,
    instant now,
    random_source& random
);

} // namespace apricotstile::assignment

#endif
