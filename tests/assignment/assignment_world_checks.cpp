// Invariants that are checked during the simulation, and recovery after it.

#include <tests/assignment/assignment_world.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::tests {

namespace {

using namespace assignment;

const service_id registry{"registry"};

} // namespace

void assignment_simulation::report_violation(const std::string& description) {
    if (this->violation.empty()) {
        this->violation = fmt::format(
            "at {} ms: {}",
            this->now.time_since_epoch() / std::chrono::milliseconds{1},
            description
        );
    }
}

/// At most one daemon may dispatch requests for a key, and a deposed member
/// none.
void assignment_simulation::check_dispatchers() {
    for (const std::string& key : this->keys) {
        int serving = 0;
        for (const simulated_daemon& one : this->daemons) {
            if (!one.running) {
                continue;
            }
            const auto decision = this->decide(one, key);
            if (decision.verdict != dispatch_verdict::serve) {
                continue;
            }
            ++serving;
            const auto& record = this->members.at(one.self.host);
            const bool deposed = record.self != one.self ||
                                 record.state == member::member_state::deposed;
            if (deposed) {
                this->report_violation(
                    "a deposed member would dispatch " + key
                );
            }
        }
        if (serving > 1) {
            this->report_violation("two members would dispatch " + key);
        }
    }
}

assignment_map assignment_simulation::stored_map() const {
    map_rows rows;
    std::vector<platform::row> found;
    for (const auto& [key, stored] : this->table.rows) {
        if (stored.value && key.starts_with(map_rows_prefix)) {
            found.push_back(
                {platform::row_key{key}, stored.version, *stored.value}
            );
        }
    }
    absorb(rows, found);
    const auto map = to_map(rows);
    return map ? *map : assignment_map{};
}

/// Each change raises the map's version by one. The fencing token of a key
/// never falls, and rises with each change of owner.
void assignment_simulation::check_table() {
    const auto head = this->table.rows.find(map_head_row);
    if (head == this->table.rows.end()) {
        return;
    }
    const auto version = decode<map_head>(*head->second.value).version;
    if (version == this->latest_map.version) {
        return;
    }
    const assignment_map after = this->stored_map();
    if (after.version != next(this->latest_map.version)) {
        this->report_violation("the table's map version did not rise by one");
        return;
    }
    for (const std::string& key : this->keys) {
        const auto before_change = find_owner(this->latest_map, registry, key);
        const auto after_change = find_owner(after, registry, key);
        if (!before_change || !after_change) {
            continue;
        }
        const bool moved =
            before_change->assignment.owner != after_change->assignment.owner;
        const bool token_fell =
            after_change->assignment.token < before_change->assignment.token;
        const bool token_kept =
            after_change->assignment.token == before_change->assignment.token;
        if (token_fell || (moved && token_kept)) {
            this->report_violation("the token did not rise for " + key);
        }
    }
    this->latest_map = after;
    this->map_history[after.version] = after;
}

/// The map version of a follower only rises, and its map equals the map in the
/// table at that version.
void assignment_simulation::check_published(std::size_t index) {
    simulated_daemon& one = this->daemons[index];
    if (one.follower.map.version <= one.published_version) {
        this->report_violation(
            "a follower published a map version that isn't newer"
        );
    }
    one.published_version = one.follower.map.version;
    const auto found = this->map_history.find(one.published_version);
    if (found == this->map_history.end() || found->second != one.follower.map) {
        this->report_violation(
            "a follower's map differs from the table's map of its version"
        );
    }
}

/// A change whose commit was acknowledged is part of the map in the table at
/// its version.
void assignment_simulation::check_acknowledged(const map_change& change) {
    const auto found = this->map_history.find(change.version);
    if (found == this->map_history.end()) {
        this->report_violation("an acknowledged change is not in the table");
        return;
    }
    for (const service_change& service : change.services) {
        const auto& slices = found->second.services.at(service.service).slices;
        for (const slice_change& one : service.slices) {
            if (slices[one.slice.value] != one.assignment) {
                this->report_violation("an acknowledged assignment was lost");
            }
        }
    }
}

std::string assignment_simulation::recovery_failure() const {
    const assignment_map map = this->stored_map();
    for (const simulated_daemon& one : this->daemons) {
        const auto state = this->members.at(one.self.host).state;
        const bool takes_part =
            one.running && state == member::member_state::active;
        if (takes_part && one.follower.map != map) {
            return fmt::format(
                "daemon {} has map version {}, the table has version {}",
                one.self.host.value,
                one.follower.map.version.value,
                map.version.value
            );
        }
    }
    for (const std::string& key : this->keys) {
        const auto serving = std::count_if(
            this->daemons.begin(),
            this->daemons.end(),
            [&](const simulated_daemon& one) {
                return one.running && this->decide(one, key).verdict ==
                                          dispatch_verdict::serve;
            }
        );
        if (serving != 1) {
            const auto owner = find_owner(map, registry, key);
            return fmt::format(
                "{} is served by {} daemons; owner host {}, next owner host {}",
                key,
                serving,
                owner ? owner->assignment.owner.host.value : 0,
                owner ? owner->assignment.next_owner.host.value : 0
            );
        }
    }
    return {};
}

} // namespace apricotstile::tests
