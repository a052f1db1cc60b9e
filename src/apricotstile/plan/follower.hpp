// Keeps a daemon on the newest version of the two lists that it knows of, and
// never reverts it to an older one.
//
// Versions are announced by digests between peers. A daemon fetches the
// difference in parts from a peer that announced a newer version, and reads the
// object store only when no peer has it. A daemon that has just started isn't
// ready until it holds the highest version reported by the table or by a
// majority of the members.

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
    /// A digest is sent to one random member at this interval.
    duration gossip_interval{std::chrono::seconds{2}};
    /// Shorter interval, for `urgent_gossip_duration` after a version is
    /// adopted.
    duration urgent_gossip_interval{std::chrono::milliseconds{500}};
    duration urgent_gossip_duration{std::chrono::seconds{4}};
    /// Members that are sent a digest as soon as a version is adopted.
    std::uint32_t fanout{4};
    /// All members together read the head row about once per this time.
    duration table_read_spacing{std::chrono::milliseconds{500}};
    duration min_table_read_interval{std::chrono::seconds{2}};
    /// A requested part that takes longer counts as lost.
    duration fetch_timeout{std::chrono::milliseconds{500}};
    /// After so many consecutive timeouts a peer isn't used again until its
    /// next digest.
    std::uint32_t fetch_attempts{3};
    /// A platform call that takes longer counts as lost.
    duration platform_timeout{std::chrono::seconds{5}};
    std::uint32_t part_bytes{16 * 1024};
    std::uint32_t max_kept_differences{64};
    std::uint32_t max_kept_changes{100'000};
    /// Polls of members for an operator's status and after a start.
    std::uint32_t polls_per_tick{75};
    duration poll_interval{std::chrono::seconds{1}};
    duration poll_duration{std::chrono::seconds{10}};
    /// Fault that a test injects to verify that it detects it; false in every
    /// daemon.
    bool fault_ready_without_majority{false};
};

/// A version that a daemon holds in memory.
struct held_version {
    version_record record;
    plan_lists lists;
    /// The encoded body, named by `record.body`.
    std::string bytes;
};

/// The difference between two versions that the daemon held in succession.
struct kept_difference {
    plan_version from;
    plan_version to;
    plan_difference changes;
};

/// An unfinished transfer from a peer.
struct plan_fetch {
    host_id peer;
    plan_version wanted_version;
    bool full_body{false};
    /// Of the first part; later parts must match.
    std::optional<version_record> record;
    plan_version from;
    std::string bytes;
    instant requested_at;
    /// Requests for the current part that have timed out.
    std::uint32_t timeouts{0};
};

struct follower_state {
    follower_policy policy;
    host_id self;
    /// The other members.
    std::vector<host_id> members;
    std::optional<held_version> held;
    /// Whether `held` is in force; once true, true until the daemon restarts.
    bool ready{false};
    bool table_answered{false};
    /// Peers that have reported a version in force since this daemon started.
    std::set<host_id> ready_peers;
    /// The highest version that this host or the table is known to have had;
    /// the daemon isn't ready below it.
    plan_version min_version;
    /// Contiguous and oldest first; the last one ends at `held`.
    std::deque<kept_difference> differences;
    /// The highest version that each peer announced, unless a fetch of it
    /// failed.
    std::map<host_id, plan_version> announced_versions;
    /// The highest version that any peer announced.
    plan_version newest_announced;
    /// The version in force that each peer last reported; zero while the peer
    /// isn't ready.
    std::map<host_id, plan_version> versions_in_force;
    /// The highest version that each host is known to have had.
    std::map<host_id, plan_version> peer_min_versions;
    std::optional<plan_fetch> fetch;
    /// The record in the table's head row, when newer than `held`.
    std::optional<version_record> table_head;
    platform::operation_id last_operation;
    std::optional<platform::operation_id> pending_table_read;
    std::optional<platform::operation_id> pending_body_read;
    instant table_read_started;
    instant body_read_started;
    instant next_gossip;
    instant urgent_until;
    instant next_table_read;
    /// The time at which each member was last polled.
    std::map<host_id, instant> last_polled;
    instant poll_until;
};

struct follower_started {};

struct follower_tick {};

/// All members; whether the daemon itself is included doesn't matter.
struct plan_members_changed {
    std::vector<host_id> members;
};

struct plan_message_received {
    host_id from;
    plan_message message;
};

/// An apply that this daemon ran has succeeded.
struct version_applied {
    version_body body;
};

/// An operator has requested a status: polls the members for `poll_duration`,
/// so that `describe_status` is fresh.
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

/// Compile `follower_state::held` and use it for new requests. Requests that
/// were already admitted finish under the book that admitted them.
struct version_in_force {
    plan_version version;
};

using follower_action = std::variant<
    send_plan_message,
    version_in_force,
    platform::read_rows,
    platform::get_object>;

/// Pass `follower_started` first and a `follower_tick` every 100 ms.
[[nodiscard]] std::vector<follower_action> step(
    follower_state& state,
    const follower_event& event,
    instant now,
    random_source& random
);

/// The version in force, or null while the daemon isn't ready.
[[nodiscard]] const held_version* in_force(const follower_state& state);

/// The digest to send with a heartbeat to `peer`, which passes it to its own
/// `step` as a received message.
[[nodiscard]] plan_digest digest_for(const follower_state& state, host_id peer);

} // namespace apricotstile::plan

#endif
