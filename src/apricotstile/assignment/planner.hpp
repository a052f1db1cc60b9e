// State machine of the planner, the role that assigns slices and keys to
// members. Any daemon can acquire the role with a conditional write of the
// planner row. Every change of the map is conditional on the map's version,
// so two planners at the same time can't corrupt the map.

#ifndef APRICOTSTILE_ASSIGNMENT_PLANNER_HPP
#define APRICOTSTILE_ASSIGNMENT_PLANNER_HPP

#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/assignment/map_messages.hpp>
#include <apricotstile/assignment/map_reader.hpp>
#include <apricotstile/assignment/move_queue.hpp>
#include <apricotstile/assignment/placement.hpp>
#include <apricotstile/assignment/share_change.hpp>
#include <apricotstile/core/random.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace apricotstile::assignment {

/// Key of the table row that names the member with the planner role.
inline constexpr const char* planner_row_key = "planner";

/// Weights from the deployment's settings: uneven load, number of moves and
/// time for which ranges are unavailable. A higher weight avoids more of it.
struct planner_weights {
    double imbalance{1.0};
    double churn{1.0};
    double unavailable_time{1.0};
};

/// How far a member's load may exceed the mean load before ranges are moved
/// away from it, as a fraction of the mean.
[[nodiscard]] double imbalance_tolerance(const planner_weights& weights);

enum class planner_role : std::uint8_t {
    /// Another daemon has the role, as far as this one knows.
    waiting,
    /// Reads the planner row to check whether its holder still renews it.
    reading,
    /// Wrote the planner row and waits for the response.
    claiming,
    /// Has the role.
    leading
};

/// A transaction that changes the map and awaits its result.
struct planner_transaction {
    platform::operation_id id;
    map_change change;
};

struct planner {
    member::member_ref self;
    planner_weights weights;
    move_limits limits;

    planner_role role{planner_role::waiting};
    /// Last known version of the planner row; each renewal raises it.
    std::uint64_t planner_row_version{0};
    /// Last known holder of the role; host zero while none is known.
    member::member_ref holder;
    /// When `planner_row_version` last rose; empty before the first tick.
    std::optional<instant> renewal_seen_at;
    /// When to try to acquire the role; empty while no attempt is scheduled.
    std::optional<instant> claim_at;
    /// The read or write of the planner row that is in flight.
    std::optional<platform::operation_id> role_operation;
    /// When this daemon last submitted a write of the planner row.
    instant renewed_at;

    /// Reads and keeps the map's rows; reset when the role is lost.
    map_reader reader;
    /// The map of `reader.rows`, valid while `map_current`.
    assignment_map map;
    bool map_current{false};
    /// Newest map version known to this daemon's follower or to this planner.
    map_version newest_known_version;
    /// When the last read of the map's rows was started.
    instant map_requested_at;
    std::optional<planner_transaction> pending_transaction;
    /// Reads of the map and transactions wait until this time after a failure.
    instant retry_at;

    std::map<host_id, member::member_record> members;
    first_seen_times first_seen;
    observed_load load;
    /// The member that reported each key of `load.keys`.
    std::map<range_id, member::member_ref> key_reporters;
    /// Key exceptions whose load has fallen so far that the key should return
    /// to the owner of its slice.
    std::set<range_id> cooled_exceptions;
    move_queue moves;
    /// Whether the map may contain ranges without an owner, or planned moves
    /// whose target can't accept ranges.
    bool needs_ownership_scan{false};
    instant rebalance_at;
    platform::operation_id last_id;
};

/// To be passed about every 100 ms.
struct planner_tick {};

/// Replaces the member records: all that the daemon knows.
struct planner_members_changed {
    std::vector<member::member_record> records;
};

/// Current map digest of this daemon's follower. To be passed with each tick
/// and whenever the digest changes.
struct digest_seen {
    map_digest digest;
};

using planner_event = std::variant<
    planner_tick,
    planner_members_changed,
    digest_seen,
    load_report,
    platform::transaction_done,
    platform::rows_read>;

/// The planner has read a newer map from the table. To be passed to this
/// daemon's follower as `map_was_read`.
struct share_map {
    map_rows rows;
};

/// This daemon has acquired or renewed the planner role. To be passed to its
/// follower as `planner_seen`.
struct announce_planner {
    /// Version of the planner row.
    std::uint64_t beat{0};
    member::member_ref planner;
};

using planner_action = std::variant<
    share_change,
    share_map,
    announce_planner,
    platform::submit_transaction,
    platform::read_rows>;
using planner_actions = std::vector<planner_action>;

/// Handles one event and returns the actions to carry out. `planner.self` must
/// be set. Not thread-safe.
[[nodiscard]] planner_actions step(
    planner& planner,
    const planner_event& event,
    instant now,
    random_source& random
);

} // namespace apricotstile::assignment

#endif
