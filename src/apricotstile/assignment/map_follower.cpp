// Event handling of the follower. Digests announce new versions. A peer that
// asks for changes gets them from the bounded history, or a snapshot of the
// changed chunks if it is too far behind for the history.

#include <apricotstile/assignment/map_follower.hpp>

#include <apricotstile/assignment/internal/map_answers.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace apricotstile::assignment {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_history_size = 16'384;
constexpr std::size_t max_newer_peers = 16;
constexpr std::size_t max_pending_changes = 64;
/// How many peers are sent a new version at once; the others learn of it from
/// heartbeats.
constexpr std::size_t announcement_fanout = 4;
constexpr duration fetch_timeout = 500ms;
constexpr duration table_read_delay = 1s;
/// Spreads the reads of the table when all daemons start together.
constexpr duration table_read_spread_per_peer = 10ms;
constexpr duration table_read_retry_interval = 5s;

void send(follower_actions& actions, host_id to, map_message message) {
    actions.emplace_back(send_map_message{to, std::move(message)});
}

void announce_version(
    const map_follower& follower,
    random_source& random,
    follower_actions& actions
) {
    std::vector<host_id> chosen;
    std::sample(
        follower.peers.begin(),
        follower.peers.end(),
        std::back_inserter(chosen),
        announcement_fanout,
        random
    );
    for (const host_id peer : chosen) {
        send(actions, peer, digest_of(follower));
    }
}

void append_to_history(map_follower& follower, const map_change& change) {
    follower.history.push_back(change);
    follower.history_size += entry_count(change);
    while (follower.history_size > max_history_size) {
        follower.history_size -= entry_count(follower.history.front());
        follower.history.pop_front();
    }
}

void apply_next(map_follower& follower, const map_change& change) {
    apply_change(follower.map, change);
    apply_to_head(follower.head, change);
    append_to_history(follower, change);
}

void apply_pending_changes(
    map_follower& follower, std::vector<map_change>& applied
) {
    auto& pending = follower.pending_changes;
    while (!pending.empty() &&
           pending.begin()->first <= next(follower.map.version)) {
        const auto first = pending.extract(pending.begin());
        if (first.key() == next(follower.map.version)) {
            apply_next(follower, first.mapped());
            applied.push_back(first.mapped());
        }
    }
}

/// Applies those of `changes` that directly follow the current version.
std::vector<map_change> apply_consecutive(
    map_follower& follower, const std::vector<map_change>& changes
) {
    std::vector<map_change> applied;
    for (const map_change& one : changes) {
        if (one.version == next(follower.map.version)) {
            apply_next(follower, one);
            applied.push_back(one);
        }
    }
    apply_pending_changes(follower, applied);
    return applied;
}

void remove_reached_peers(map_follower& follower) {
    std::erase_if(follower.newer_peers, [&](const auto& one) {
        return one.second <= follower.map.version;
    });
}

void publish(
    map_follower& follower,
    std::vector<map_change> changes,
    random_source& random,
    follower_actions& actions
) {
    remove_reached_peers(follower);
    follower.table_read_at.reset();
    actions.emplace_back(publish_map{follower.map.version, std::move(changes)});
    announce_version(follower, random, actions);
}

void start_fetch(
    map_follower& follower, instant now, follower_actions& actions
) {
    if (follower.fetch || follower.newer_peers.empty()) {
        return;
    }
    const auto newest = std::max_element(
        follower.newer_peers.begin(),
        follower.newer_peers.end(),
        [](const auto& a, const auto& b) {
            return a.second < b.second;
        }
    );
    follower.fetch = map_fetch{newest->first, newest->second, now, {}};
    send(actions, newest->first, get_map_changes{follower.map.version});
}

void end_fetch(map_follower& follower, host_id peer) {
    if (follower.fetch && follower.fetch->peer == peer) {
        follower.fetch.reset();
    }
}

void update_planner(
    map_follower& follower, std::uint64_t beat, member::member_ref planner
) {
    if (beat > follower.planner_beat) {
        follower.planner_beat = beat;
        follower.planner = planner;
    }
}

bool is_of_same_snapshot(
    const map_fetch& fetch, const map_snapshot_part& part
) {
    if (fetch.parts.empty()) {
        return true;
    }
    const map_snapshot_part& first = fetch.parts.begin()->second;
    return first.base_version == part.base_version &&
           first.head.version == part.head.version;
}

void apply_snapshot(map_follower& follower, const map_fetch& fetch) {
    follower.head = fetch.parts.begin()->second.head;
    for (const auto& [number, part] : fetch.parts) {
        for (const snapshot_chunk& one : part.chunks) {
            const auto& layout = follower.head.services.at(one.id.service);
            insert_chunk(follower.map, one.id, layout.slice_count, one.chunk);
        }
    }
    follower.map.version = follower.head.version;
    follower.history.clear();
    follower.history_size = 0;
}

void replace_map(
    map_follower& follower,
    const map_rows& rows,
    random_source& random,
    follower_actions& actions
) {
    if (rows.head.version <= follower.map.version) {
        return;
    }
    auto map = to_map(rows);
    if (!map) {
        return;
    }
    follower.map = std::move(*map);
    follower.head = rows.head;
    follower.history.clear();
    follower.history_size = 0;
    publish(follower, {}, random, actions);
}

void expire_fetch(
    map_follower& follower, instant now, follower_actions& actions
) {
    const bool expired =
        follower.fetch && now - follower.fetch->sent_at >= fetch_timeout;
    if (expired) {
        // The peer's next digest adds it again.
        follower.newer_peers.erase(follower.fetch->peer);
        follower.fetch.reset();
    }
    start_fetch(follower, now, actions);
}

bool needs_table_read(const map_follower& follower) {
    return follower.map.version == map_version{} && !follower.fetch &&
           follower.newer_peers.empty();
}

void read_table_if_due(
    map_follower& follower,
    instant now,
    random_source& random,
    follower_actions& actions
) {
    if (!needs_table_read(follower)) {
        follower.table_read_at.reset();
        return;
    }
    if (!follower.table_read_at) {
        const auto spread = std::chrono::nanoseconds{
            table_read_spread_per_peer *
            static_cast<std::int64_t>(follower.peers.size() + 1)};
        const auto delay =
            random_below(random, static_cast<std::uint64_t>(spread.count()));
        follower.table_read_at =
            now + table_read_delay + duration{static_cast<std::int64_t>(delay)};
        return;
    }
    if (now < *follower.table_read_at) {
        return;
    }
    follower.table_read_at = now + table_read_retry_interval;
    for (auto& one : start_reading(follower.reader, {})) {
        actions.emplace_back(std::move(one));
    }
}

/// Handles one event or message.
struct follower_event_handler {
    map_follower& follower;
    instant now;
    random_source& random;
    follower_actions actions;
    /// The sender of the message.
    host_id from;

    void operator()(const map_digest& digest) {
        update_planner(this->follower, digest.planner_beat, digest.planner);
        if (digest.version <= this->follower.map.version) {
            return;
        }
        const bool room = this->follower.newer_peers.size() < max_newer_peers;
        if (room || this->follower.newer_peers.contains(this->from)) {
            this->follower.newer_peers[this->from] = digest.version;
        }
        start_fetch(this->follower, this->now, this->actions);
    }

    void operator()(const get_map_changes& request) {
        if (request.base_version >= this->follower.map.version) {
            return;
        }
        const bool in_history = !this->follower.history.empty() &&
                                this->follower.history.front().version <=
                                    next(request.base_version);
        if (in_history) {
            send(
                this->actions,
                this->from,
                internal::changes_after(this->follower, request.base_version)
            );
            return;
        }
        for (auto& part :
             internal::snapshot_after(this->follower, request.base_version)) {
            send(this->actions, this->from, std::move(part));
        }
    }

    void operator()(const map_changes& message) {
        auto applied = apply_consecutive(this->follower, message.changes);
        end_fetch(this->follower, this->from);
        if (!applied.empty()) {
            publish(
                this->follower, std::move(applied), this->random, this->actions
            );
        }
        start_fetch(this->follower, this->now, this->actions);
    }

    void operator()(const map_snapshot_part& part) {
        const bool usable = this->follower.fetch &&
                            this->follower.fetch->peer == this->from &&
                            part.base_version == this->follower.map.version &&
                            part.head.version > this->follower.map.version;
        if (!usable) {
            return;
        }
        map_fetch& fetch = *this->follower.fetch;
        if (!is_of_same_snapshot(fetch, part)) {
            fetch.parts.clear();
        }
        fetch.parts.emplace(part.part, part);
        fetch.sent_at = this->now;
        if (fetch.parts.size() < part.part_count) {
            return;
        }
        apply_snapshot(this->follower, fetch);
        end_fetch(this->follower, this->from);
        publish(this->follower, {}, this->random, this->actions);
        start_fetch(this->follower, this->now, this->actions);
    }

    /// Load reports are handled by the planner.
    void operator()(const load_report& /*report*/) {}

    void operator()(const follower_tick& /*tick*/) {
        expire_fetch(this->follower, this->now, this->actions);
        read_table_if_due(
            this->follower, this->now, this->random, this->actions
        );
    }

    void operator()(const peers_changed& event) {
        this->follower.peers = event.peers;
    }

    void operator()(const follower_message& event) {
        this->from = event.from;
        std::visit(*this, event.message);
    }

    void operator()(const change_committed& event) {
        this->follower.pending_changes.emplace(
            event.change.version, event.change
        );
        while (this->follower.pending_changes.size() > max_pending_changes) {
            this->follower.pending_changes.erase(
                std::prev(this->follower.pending_changes.end())
            );
        }
        auto applied = apply_consecutive(this->follower, {});
        if (!applied.empty()) {
            publish(
                this->follower, std::move(applied), this->random, this->actions
            );
        }
    }

    void operator()(const map_was_read& event) {
        replace_map(this->follower, event.rows, this->random, this->actions);
    }

    void operator()(const planner_seen& event) {
        const bool is_news = event.planner != this->follower.planner;
        update_planner(this->follower, event.beat, event.planner);
        if (is_news) {
            announce_version(this->follower, this->random, this->actions);
        }
    }

    void operator()(const platform::rows_read& event) {
        for (auto& one : take_rows(this->follower.reader, event)) {
            this->actions.emplace_back(std::move(one));
        }
        if (this->follower.reader.status == reader_status::idle) {
            replace_map(
                this->follower,
                this->follower.reader.rows,
                this->random,
                this->actions
            );
            this->follower.reader.rows = {};
        }
    }
};

} // namespace

follower_actions step(
    map_follower& follower,
    const follower_event& event,
    instant now,
    random_source& random
) {
    follower_event_handler handler{follower, now, random, {}, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

map_digest digest_of(const map_follower& follower) {
    return {follower.map.version, follower.planner_beat, follower.planner};
}

} // namespace apricotstile::assignment
