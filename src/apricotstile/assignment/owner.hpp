// The owner's side of planned moves: stop dispatching, let work in flight
// finish, release by the owner's own transaction, and settle a lost answer by
// reading before serving again.

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

/// How long after its submission the store may still execute a write whose
/// answer was lost.
constexpr duration store_write_bound = 5s;
/// A move whose work in flight lasts longer is given up by the owner, which
/// serves the range again; the planner then cancels the move.
constexpr duration drain_limit = 10s;
/// How long a leaving daemon waits for the planner to name targets before it
/// chooses them itself.
constexpr duration planner_wait = 1s;
/// A leaving daemon dispatches nothing later than this after it was told to
/// leave.
constexpr duration leaving_work_limit = 2s;
constexpr std::size_t max_ranges_draining = 64;
constexpr std::size_t max_chunks_per_release = 32;

enum class release_phase : std::uint8_t {
    /// Work is in flight.
    draining,
    /// No work is in flight; the release can be written.
    drained,
    /// The release was sent and isn't answered yet, or its answer was lost
    /// and isn't settled yet.
    releasing
};

/// One range on its way to another member. Nothing of it is dispatched.
struct range_release {
    member::member_ref to;
    /// The token under which this member owned the range.
    fencing_token token;
    /// Told to the shell, so that an old "drained" isn't taken for this one.
    std::uint64_t attempt{0};
    release_phase phase{release_phase::draining};
    instant since;
    /// Named by this daemon because the planner didn't.
    bool chosen_here{false};
};

struct release_transaction {
    platform::operation_id id;
    map_change change;
    std::vector<range_id> ranges;
    /// What the transaction expects the head row's version to be.
    platform::row_version head_row;
    instant submitted_at;
    /// Whether the answer was lost.
    bool unsettled{false};
};

struct owner_state {
    member::member_ref self;
    std::map<range_id, range_release> releases;
    /// The token of each range's last release. The range isn't served under
    /// it again, however old the map is.
    std::map<range_id, fencing_token> ended;
    /// Moves that the map plans for this member's ranges, with the targets.
    std::map<range_id, member::member_ref> planned;
    /// Moves given up, until the planner plans another target or none.
    std::map<range_id, member::member_ref> refused;
    map_reader reader;
    /// When the read in progress was asked for.
    instant read_at;
    std::optional<release_transaction> sent;
    instant retry_at;
    std::optional<instant> leaving_since;
    /// Once true this incarnation dispatches nothing more, whatever the map
    /// says: others may take its ranges for free.
    bool told_all_released{false};
    /// Where a leaving daemon may send its ranges.
    std::vector<member::member_record> members;
    std::uint64_t last_attempt{0};
    platform::operation_id last_id;
};

/// Passed every 50 ms or so.
struct owner_tick {};

/// The follower has published; `changes` as in `publish_map`.
struct owner_map_changed {
    std::vector<map_change> changes;
};

/// No work of the range is in flight at the upstream and none will be
/// dispatched, as asked for by `stop_dispatching` with this attempt. For a
/// single key this includes work dispatched while the key was its slice's.
struct range_drained {
    range_id range;
    std::uint64_t attempt{0};
};

/// The daemon is to release everything and stop.
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

/// Dispatch nothing more of the range and answer with `range_drained` once
/// nothing of it is in flight.
struct stop_dispatching {
    range_id range;
    std::uint64_t attempt{0};
    member::member_ref to;
};

/// The move ended without a release: forget the drain. `decide_dispatch`
/// says whether the range is served here again.
struct resume_dispatching {
    range_id range;
};

/// The range has drained: send its record of request ids to `to`. The release
/// is written after this.
struct hand_over_range {
    range_id range;
    member::member_ref to;
};

/// The range's release took effect.
struct range_released {
    range_id range;
    member::member_ref to;
};

/// The leaving daemon owns nothing any more.
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

/// Decides on one event by `map`, the follower's map. The state's `self` must
/// be set. Call it from one thread.
[[nodiscard]] owner_actions step(
    owner_state& owner,
    const assignment_map& map,
    const owner_event& event,
    instant now,
    random_source& random
);

} // namespace apricotstile::assignment

#endif
