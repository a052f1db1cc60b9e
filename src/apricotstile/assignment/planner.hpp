// The planner: the role of deciding which member owns what. Any daemon can
// take it by a conditional write of the planner's row. All its changes are
// conditional on the map's version, so two planners at once do no harm.

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

inline constexpr const char* planner_row_key = "planner";

/// What the deployment's settings say of the three measures.
struct planner_weights {
    double imbalance{1.0};
    double churn{1.0};
    double unavailable_time{1.0};
};

/// How far above the mean a member's load may be before ranges are moved off
/// it, as a share of the mean.
[[nodiscard]] double imbalance_tolerance(const planner_weights& weights);

enum class planner_role : std::uint8_t {
    /// Another daemon plans, as far as this one knows.
    waiting,
    /// Reads the row to see whether it is still renewed.
    reading,
    /// Wrote the row and waits for the answer.
    claiming,
    leading
};

/// The planner's own transaction in flight.
struct planner_transaction {
    platform::operation_id id;
    map_change change;
};

struct planner {
    member::member_ref self;
    planner_weights weights;
    move_limits limits;

    planner_role role{planner_role::waiting};
    /// The planner row's version and holder as last known.
    std::uint64_t planner_row_version{0};
    member::member_ref holder;
    /// When `beat` last rose; empty before the first tick.
    std::optional<instant> renewal_seen_at;
    std::optional<instant> claim_at;
    std::optional<platform::operation_id> role_operation;
    instant renewed_at;

    /// The table's rows, kept only while leading.
    map_reader reader;
    /// The map of `reader.rows`, valid while `map_current`.
    assignment_map map;
    bool map_current{false};
    /// The newest version that this daemon's follower or its peers show.
    map_version newest_known_version;
    /// When the map's rows were last asked for.
    instant map_requested_at;
    std::optional<planner_transaction> pending_transaction;
    instant retry_at;

    std::map<host_id, member::member_record> members;
    first_seen_times first_seen;
    observed_load load;
    /// Who reported each key of `load.keys`.
    std::map<range_id, member::member_ref> key_reporters;
    /// Exceptions whose keys have cooled and go back to their slices.
    std::set<range_id> cooled_exceptions;
    move_queue moves;
    /// Whether ranges may be without an owner, or moves without a target.
    bool needs_ownership_scan{false};
    instant rebalance_at;
    platform::operation_id last_id;
};

/// Passed every 100 ms or so.
struct planner_tick {};

/// All member records that the daemon knows.
struct planner_members_changed {
    std::vector<member::member_record> records;
};

/// What this daemon's follower would put on a heartbeat; passed with each
/// tick and whenever it changes.
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

/// The planner read the map. Pass it to the follower as `map_was_read`.
struct share_map {
    map_rows rows;
};

/// This daemon holds the planner's row. Pass it to the follower as
/// `planner_seen`.
struct announce_planner {
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

/// Decides on one event. The state's `self` must be set. Call it from one
/// thread.
[[nodiscard]] planner_actions step(
    planner& planner,
    const planner_event& event,
    instant now,
    random_source& random
);

} // namespace apricotstile::assignment

#endif
