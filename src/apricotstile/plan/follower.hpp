// Keeps a daemon on the newest version of the two lists that it can learn of,
// and never takes it back to an older one.
//
// Versions spread by digests between peers; a daemon fetches the difference
// from the peer that showed a newer version, in parts, and reads the object
// store only when no peer has it. A daemon without state is not ready before
// it has the highest version that the table, or a majority of the members,
// showed it.

#ifndef APRICOTSTILE_PLAN_FOLLOWER_HPP
#define APRICOTSTILE_PLAN_FOLLOWER_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/plan/plan_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace apricotstile::plan {

struct follower_policy {
    /// A digest goes to one random member this often.
    duration gossip_interval{std::chrono::seconds{2}};
    /// For a while after a version came in force, digests go out faster.
    duration urgent_gossip_interval{std::chrono::milliseconds{500}};
    duration urgent_gossip_time{std::chrono::seconds{4}};
    /// Members told at once of a version newly in force.
    std::uint32_t fanout{4};
    /// All members together read the head row about once in this time.
    duration table_read_spacing{std::chrono::milliseconds{500}};
    duration shortest_table_read_interval{std::chrono::seconds{2}};
    /// A part or a call that took longer counts as lost.
    duration fetch_timeout{std::chrono::milliseconds{500}};
    /// A peer that left so many in a row unanswered is left until its next
    /// digest.
    std::uint32_t fetch_attempts{3};
    duration platform_timeout{std::chrono::seconds{5}};
    std::uint32_t part_bytes{16 * 1024};
    std::uint32_t kept_differences{64};
    std::uint32_t kept_changes{100'000};
    /// Polls of members while an operator waits for a status.
    std::uint32_t polls_per_tick{75};
    duration poll_interval{std::chrono::seconds{1}};
    duration poll_duration{std::chrono::seconds{10}};
    /// Seeded fault for tests of the tests; false in every daemon.
    bool fault_ready_at_once{false};
};

/// A version as a daemon holds it.
struct held_version {
    version_record record;
    plan_lists lists;
    /// The encoded body, named by `record.body`.
    std::string bytes;
};

/// The difference to one version from the one before that the daemon held.
struct kept_difference {
    plan_version from;
    plan_version to;
    plan_difference changes;
};

/// An unfinished transfer from a peer.
struct plan_fetch {
    host_id peer;
    plan_version want;
    bool whole{false};
    /// Of the first part; later parts must match.
    std::optional<version_record> record;
    plan_version from;
    std::string bytes;
    instant asked;
    /// Requests for the present part that have timed out.
    std::uint32_t unanswered{0};
};

struct follower_state {
    follower_policy policy;
    host_id self;
    /// The other members.
    std::vector<host_id> members;
    std::optional<held_version> held;
    /// Once true stays true for this run of the daemon.
    bool ready{false};
    bool table_answered{false};
    /// Peers with a version in force that this run has heard.
    std::set<host_id> peers_answered;
    /// The highest version that this host or the table is known to have had.
    plan_version floor;
    /// Contiguous and oldest first; the last leads to `held`.
    std::deque<kept_difference> differences;
    /// The highest version that each peer showed, unless a fetch of it failed.
    std::map<host_id, plan_version> seen;
    /// The highest version that any peer showed.
    plan_version newest_seen;
    /// What each peer last said to have in force; zero while it starts.
    std::map<host_id, plan_version> in_force_at;
    /// The highest version that each host ever had as far as known here.
    std::map<host_id, plan_version> floors;
    std::optional<plan_fetch> fetch;
    /// What the table's head row named, when newer than `held`.
    std::optional<version_record> table_head;
    platform::operation_id last_operation;
    std::optional<platform::operation_id> reading;
    std::optional<platform::operation_id> getting;
    instant reading_since;
    instant getting_since;
    instant next_gossip;
    instant urgent_until;
    instant next_table_read;
    /// When each member was last polled.
    std::map<host_id, instant> polled;
    instant poll_until;
};

struct follower_started {};

struct follower_tick {};

/// All members, with or without the daemon itself.
struct plan_members_changed {
    std::vector<host_id> members;
};

struct plan_message_received {
    host_id from;
    plan_message message;
};

/// An apply that this daemon ran was acknowledged.
struct version_applied {
    version_body body;
};

/// An operator wants `describe_status` to be fresh for a while.
struct status_requested {};

using follower_event = std::variant<
    follower_started,
    follower_tick,
    plan_members_changed,
    plan_message_received,
    version_applied,
    status_requested,
    platform::rows_read,
    platform::object_got>;

struct send_plan_message {
    host_id to;
    plan_message message;
};

/// `follower_state::held` is now to be compiled and used for new requests;
/// admitted ones finish under the book they were admitted by.
struct version_in_force {
    plan_version version;
};

using follower_action = std::variant<
    send_plan_message,
    version_in_force,
    platform::read_rows,
    platform::get_object>;

/// Feed `follower_started` first and a tick every 100 ms.
[[nodiscard]] std::vector<follower_action> step(
    follower_state& state,
    const follower_event& event,
    instant now,
    random_source& random
);

/// The version to serve by, or null while the daemon isn't ready.
[[nodiscard]] const held_version* in_force(const follower_state& state);

/// To ride on a heartbeat to `peer`; feed it there as a received message.
[[nodiscard]] plan_digest digest_for(const follower_state& state, host_id peer);

} // namespace apricotstile::plan

#endif
