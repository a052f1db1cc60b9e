// Event handling of the planner: its role, reads of the map, and at most one
// transaction in flight.

#include <apricotstile/assignment/planner.hpp>

#include <apricotstile/assignment/internal/planner_role.hpp>
#include <apricotstile/assignment/internal/planning.hpp>
#include <apricotstile/assignment/internal/rebalance.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::assignment {

namespace {

constexpr duration rebalance_interval = std::chrono::seconds{5};
/// Interval of map reads that no digest asked for. They find changes whose
/// author crashed before it announced them.
constexpr duration map_poll_interval = std::chrono::seconds{1};
constexpr duration outage_retry_delay = std::chrono::milliseconds{500};
constexpr duration conflict_retry_delay = std::chrono::milliseconds{50};

void start_map_read(planner& planner, planner_actions& actions) {
    planner.map_current = false;
    for (auto& one : start_reading(planner.reader, {})) {
        actions.emplace_back(std::move(one));
    }
}

/// Whether a version newer than `planner.map` is known.
bool is_map_stale(const planner& planner) {
    return planner.newest_known_version > planner.map.version;
}

void read_map_if_needed(
    planner& planner, instant now, planner_actions& actions
) {
    const bool poll = now - planner.map_requested_at >= map_poll_interval;
    const bool needed = !planner.map_current || is_map_stale(planner) || poll;
    const bool may_read = !planner.pending_transaction &&
                          planner.reader.status != reader_status::reading &&
                          now >= planner.retry_at;
    if (planner.role == planner_role::leading && needed && may_read) {
        planner.map_requested_at = now;
        start_map_read(planner, actions);
    }
}

map_change next_change(planner& planner, instant now) {
    internal::change_builder builder;
    internal::add_new_services(planner, builder, now);
    if (planner.needs_ownership_scan) {
        planner.needs_ownership_scan =
            !internal::repair_ownership(planner, builder, now);
    }
    internal::end_finished_moves(planner, builder, now);
    internal::return_cooled_keys(planner, builder, now);
    internal::bind_pending_moves(planner, builder, now);
    return std::move(builder.change);
}

void submit_next_change(
    planner& planner, instant now, planner_actions& actions
) {
    const bool ready = planner.role == planner_role::leading &&
                       planner.map_current && !planner.pending_transaction &&
                       now >= planner.retry_at;
    if (!ready) {
        return;
    }
    map_change change = next_change(planner, now);
    if (change.services.empty()) {
        return;
    }
    change.version = next(planner.map.version);
    planner.last_id = next(planner.last_id);
    actions.emplace_back(platform::submit_transaction{
        planner.last_id, prepare_change(planner.reader.rows, change)});
    planner.pending_transaction =
        planner_transaction{planner.last_id, std::move(change)};
}

void rebalance_if_due(planner& planner, instant now) {
    const bool due = planner.role == planner_role::leading &&
                     planner.map_current && now >= planner.rebalance_at;
    if (due) {
        planner.rebalance_at = now + rebalance_interval;
        internal::propose_moves(planner, now);
    }
}

void advance(planner& planner, instant now, planner_actions& actions) {
    read_map_if_needed(planner, now, actions);
    rebalance_if_due(planner, now);
    submit_next_change(planner, now, actions);
}

void update_members(
    planner& planner,
    const std::vector<member::member_record>& records,
    instant now
) {
    std::map<host_id, member::member_record> members;
    for (const member::member_record& one : records) {
        const auto before = planner.members.find(one.self.host);
        const bool is_new =
            before == planner.members.end() || before->second.self != one.self;
        if (is_new && planner.role == planner_role::leading) {
            planner.first_seen.emplace(one.self, now);
        }
        members.emplace(one.self.host, one);
    }
    planner.members = std::move(members);
    std::erase_if(planner.first_seen, [&](const auto& one) {
        const auto found = planner.members.find(one.first.host);
        return found == planner.members.end() ||
               found->second.self != one.first;
    });
    planner.needs_ownership_scan = true;
}

/// Discards moves that may not have been written. The ownership scan restores
/// those in the map; the others are planned again.
void discard_unwritten_moves(planner& planner) {
    planner.moves.active.clear();
    planner.needs_ownership_scan = true;
}

void apply_read_map(planner& planner, planner_actions& actions) {
    const bool unchanged =
        planner.reader.rows.head.version == planner.map.version &&
        planner.map.version != map_version{};
    if (unchanged) {
        planner.map_current = true;
        return;
    }
    auto map = to_map(planner.reader.rows);
    if (!map) {
        planner.reader.status = reader_status::failed;
        return;
    }
    planner.map = std::move(*map);
    planner.map_current = true;
    planner.needs_ownership_scan = true;
    if (planner.map.version > planner.newest_known_version) {
        planner.newest_known_version = planner.map.version;
        actions.emplace_back(share_map{planner.reader.rows});
    }
}

struct planner_step {
    planner& state;
    instant now;
    random_source& random;
    planner_actions actions;

    void operator()(const planner_tick& /*tick*/) {
        internal::advance_role(
            this->state, this->now, this->random, this->actions
        );
        advance(this->state, this->now, this->actions);
    }

    void operator()(const planner_members_changed& event) {
        update_members(this->state, event.records, this->now);
        internal::advance_role(
            this->state, this->now, this->random, this->actions
        );
        advance(this->state, this->now, this->actions);
    }

    void operator()(const digest_seen& event) {
        const map_digest& digest = event.digest;
        internal::observe_planner(
            this->state, digest.planner_beat, digest.planner, this->now
        );
        this->state.newest_known_version =
            std::max(this->state.newest_known_version, digest.version);
        advance(this->state, this->now, this->actions);
    }

    void operator()(const load_report& event) {
        if (this->state.role == planner_role::leading) {
            internal::apply_load_report(this->state, event);
        }
    }

    void operator()(const platform::transaction_done& event) {
        const bool belongs_to_role = internal::handle_role_result(
            this->state, event, this->now, this->actions
        );
        if (!belongs_to_role) {
            this->handle_change_result(event);
        }
        advance(this->state, this->now, this->actions);
    }

    void operator()(const platform::rows_read& event) {
        const bool belongs_to_role = internal::handle_role_result(
            this->state, event, this->now, this->actions
        );
        if (!belongs_to_role) {
            this->handle_map_rows(event);
        }
        advance(this->state, this->now, this->actions);
    }

    void handle_change_result(const platform::transaction_done& event) {
        auto& pending = this->state.pending_transaction;
        if (!pending || pending->id != event.id) {
            return;
        }
        if (event.result.status == platform::commit_status::committed) {
            absorb_committed(
                this->state.reader.rows, pending->change, event.result
            );
            apply_change(this->state.map, pending->change);
            this->state.newest_known_version = std::max(
                this->state.newest_known_version, this->state.map.version
            );
            this->actions.emplace_back(share_change{std::move(pending->change)}
            );
            pending.reset();
            return;
        }
        // If the response was lost, the next read shows whether the change
        // took effect. If it takes effect after that read, the next
        // transaction fails with a conflict.
        pending.reset();
        this->state.map_current = false;
        discard_unwritten_moves(this->state);
        const bool conflict =
            event.result.status == platform::commit_status::conflict;
        this->state.retry_at =
            this->now + (conflict ? conflict_retry_delay : outage_retry_delay);
    }

    void handle_map_rows(const platform::rows_read& event) {
        if (this->state.reader.status != reader_status::reading) {
            return;
        }
        for (auto& one : take_rows(this->state.reader, event)) {
            this->actions.emplace_back(std::move(one));
        }
        if (this->state.reader.status == reader_status::failed) {
            this->state.retry_at = this->now + outage_retry_delay;
        }
        if (this->state.reader.status == reader_status::idle) {
            apply_read_map(this->state, this->actions);
        }
    }
};

} // namespace

double imbalance_tolerance(const planner_weights& weights) {
    constexpr double base_tolerance = 0.1;
    constexpr double min_tolerance = 0.05;
    constexpr double max_tolerance = 0.5;
    const double cost = weights.churn + 0.5 * weights.unavailable_time;
    const double gain = std::max(weights.imbalance, 0.01);
    return std::clamp(
        base_tolerance * cost / gain, min_tolerance, max_tolerance
    );
}

planner_actions step(
    planner& planner,
    const planner_event& event,
    instant now,
    random_source& random
) {
    planner_step visitor{planner, now, random, {}};
    std::visit(visitor, event);
    return std::move(visitor.actions);
}

} // namespace apricotstile::assignment
