// Keeps a daemon's copy of the assignment map up to date with its peers. The
// version of the copy never decreases. The platform's table is read only if no
// peer has announced a map.

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

/// A request for changes to the peer that announced the newest version.
struct map_fetch {
    host_id peer;
    map_version wanted_version;
    instant sent_at;
    /// The parts of a snapshot received so far. All have the same
    /// `base_version` and the same head version.
    std::map<std::uint32_t, map_snapshot_part> parts;
};

struct map_follower {
    member::member_ref self;
    /// The map that requests are routed by.
    assignment_map map;
    /// The chunk layout of `map`; both always have the same version.
    map_head head;
    /// The latest changes, oldest first; the last leads to `map.version`.
    std::deque<map_change> history;
    /// This daemon's own changes that can't be applied until the changes before
    /// them arrive.
    std::map<map_version, map_change> pending_changes;
    /// The number of slice and key entries in `history`.
    std::size_t history_size{0};
    /// Peers that announced a version newer than that of `map`, a few at most.
    std::map<host_id, map_version> newer_peers;
    std::optional<map_fetch> fetch;
    /// The newest known version of the planner's row, passed on in digests.
    std::uint64_t planner_beat{0};
    member::member_ref planner;
    /// The hosts that may be sent messages, as last given by `peers_changed`.
    std::vector<host_id> peers;
    /// Reads the whole map from the table if no peer has one.
    map_reader reader;
    /// When to read the table if there is no map by then.
    std::optional<instant> table_read_at;
};

/// Sent about every 100 ms.
struct follower_tick {};

/// The hosts that may be sent messages have changed. Excludes this host.
struct peers_changed {
    std::vector<host_id> peers;
};

/// A message or a heartbeat's digest from another daemon.
struct follower_message {
    host_id from;
    map_message message;
};

/// A transaction of this daemon that changed the map has been committed.
struct change_committed {
    map_change change;
};

struct map_was_read {
    map_rows rows;
};

/// The planner's row as this daemon read or wrote it.
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

/// `follower.map` has been updated to `version`.
struct publish_map {
    map_version version;
    /// The changes since the last publication, to be applied to copies with
    /// `apply_change`; empty if copies have to be replaced completely.
    std::vector<map_change> changes;
};

using follower_action =
    std::variant<send_map_message, publish_map, platform::read_rows>;
using follower_actions = std::vector<follower_action>;

/// Handles one event and returns the actions to perform. Not thread-safe.
[[nodiscard]] follower_actions step(
    map_follower& follower,
    const follower_event& event,
    instant now,
    random_source& random
);

/// The digest to attach to each heartbeat.
[[nodiscard]] map_digest digest_of(const map_follower& follower);

} // namespace apricotstile::assignment

#endif
