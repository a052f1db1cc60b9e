// Keeps a daemon's copy of the assignment map up to date from its peers. The
// version of the copy only rises. The platform's table is read only when no
// peer shows a map.

#ifndef APRICOTSTILE_ASSIGNMENT_MAP_FOLLOWER_HPP
#define APRICOTSTILE_ASSIGNMENT_MAP_FOLLOWER_HPP

#include <apricotstile/assignment/map_messages.hpp>
#include <apricotstile/assignment/map_reader.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace apricotstile::assignment {

/// A fetch from the peer that showed a newer version.
struct map_fetch {
    host_id peer;
    map_version wanted;
    instant sent_at;
    /// The parts of a snapshot so far, all of one `since` and head version.
    std::map<std::uint32_t, map_snapshot_part> parts;
};

struct map_follower {
    member::member_ref self;
    /// What requests are routed by.
    assignment_map map;
    /// The layout of `map`; the versions are always equal.
    map_head head;
    /// The latest changes, oldest first; the last leads to `map.version`.
    std::deque<map_change> history;
    /// Changes of this daemon's own that wait for the ones before them.
    std::map<map_version, map_change> early;
    /// Assignments in `history`.
    std::size_t history_size{0};
    /// Peers that showed a version newer than ours, a few at most.
    std::map<host_id, map_version> newer_peers;
    std::optional<map_fetch> fetch;
    /// The latest sign of a planner, passed on in digests.
    std::uint64_t planner_beat{0};
    member::member_ref planner;
    /// Other daemons to tell of news, as last given by the shell.
    std::vector<host_id> peers;
    /// Reads the whole map when no peer has one.
    map_reader reader;
    /// When to read the table if there is no map by then.
    std::optional<instant> read_at;
};

/// Passed every 100 ms or so.
struct follower_tick {};

/// The hosts that may be sent messages, without this one.
struct peers_changed {
    std::vector<host_id> peers;
};

/// A message or a heartbeat's digest from another daemon.
struct follower_message {
    host_id from;
    map_message message;
};

/// A transaction of this daemon that changed the map has been committed, or
/// this daemon has read the map in the table for another reason.
struct change_committed {
    map_change change;
};

struct map_was_read {
    map_rows rows;
};

/// The planner's row as this daemon saw or wrote it.
struct planner_seen {
    std::uint64_t beat{0};
    member::member_ref planner;
};

using follower_event = std::variant<
    follower_tick,
    peers_changed,
    follower_message,
    change_committed,
    map_was_read,
    planner_seen,
    platform::rows_read>;

struct send_map_message {
    host_id to;
    map_message message;
};

/// `follower.map` has moved forward to `version`.
struct publish_map {
    map_version version;
    /// The changes since the last publication, to be applied to copies by
    /// `apply_change`; empty when copies have to be replaced whole.
    std::vector<map_change> changes;
};

using follower_action =
    std::variant<send_map_message, publish_map, platform::read_rows>;
using follower_actions = std::vector<follower_action>;

/// Decides on one event. Call it from one thread.
[[nodiscard]] follower_actions step(
    map_follower& follower,
    const follower_event& event,
    instant now,
    random_source& random
);

/// What to put on each heartbeat.
[[nodiscard]] map_digest digest_of(const map_follower& follower);

} // namespace apricotstile::assignment

#endif
