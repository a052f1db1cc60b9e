// The planner's steps: role, reading of the map, one conditional change at a
// time.

#include <apricotstile/assignment/planner.hpp>

#include <apricotstile/assignment/internal/planner_role.hpp>
#include <apricotstile/assignment/internal/planning.hpp>
#include <apricotstile/assignment/internal/rebalance.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::assignment {

namespace {

constexpr duration rebalance_interval = std::chrono::seconds{5};
/// How often the planner looks for changes that nobody shows: whoever made
/// them may have gone before telling.
constexpr duration map_poll_interval = std::chrono::seconds{1};
constexpr duration outage_retry = std::chrono::milliseconds{500};
constexpr duration conflict_retry = std::chrono::milliseconds{50};

void start_map_read(planner& planner, planner_actions& actions) {
    planner.map_current = false;
    for (auto& one : start_reading(planner.reader, {})) {
        actions.emplace_back(std::move(one));
    }
}

/// Whether others have changed the map since it was read.
bool is_behind(const planner& planner) {
    return planner.shown_version > planner.map.version;
}

void read_map_if_needed(
    planner& planner, instant now, planner_actions& actions
) {
    const bool poll = now - planner.read_at >= map_poll_interval;
    const bool needed = !planner.map_current || is_behind(planner) || poll;
    const bool may_read = !planner.sent &&
                          planner.reader.status != reader_status::reading &&
                          now >= planner.retry_at;
    if (planner.role == planner_role::leading && needed && may_read) {
        planner.read_at = now;
        start_map_read(planner, actions);
    }
}

map_change next_change(planner& planner, instant now) {
    internal::change_builder builder;
    internal::add_new_services(planner, builder, now);
    if (planner.ownership_changed) {
        planner.ownership_changed =
            !internal::repair_ownership(planner, builder, now);
    }
    internal::settle_moves(planner, builder, now);
    internal::return_cooled_keys(planner, builder, now);
    internal::bind_pending_moves(planner, builder, now);
    return std::move(builder.change);
}

void submit_next_change(
    planner& planner, instant now, planner_actions& actions
) {
    const bool ready = planner.role == planner_role::leading &&
                       planner.map_current && !planner.sent &&
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
    planner.sent = planner_transaction{planner.last_id, std::move(change)};
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

void take_members(
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
    planner.ownership_changed = true;
}

/// Forgets what was planned but not written: it is planned again.
void forget_unwritten_moves(planner& planner) {
    planner.moves.active.clear();
    planner.ownership_changed = true;
}

void take_map(planner& planner, planner_actions& actions) {
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
    planner.ownership_changed = true;
    if (planner.map.version > planner.shown_version) {
        planner.shown_version = planner.map.version;
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
        take_members(this->state, event.records, this->now);
        internal::advance_role(
            this->state, this->now, this->random, this->actions
        );
        advance(this->state, this->now, this->actions);
    }

    void operator()(const digest_seen& event) {
        const map_digest& digest = event.digest;
        internal::note_beat(
            this->state, digest.planner_beat, digest.planner, this->now
        );
        this->state.shown_version =
            std::max(this->state.shown_version, digest.version);
        advance(this->state, this->now, this->actions);
    }

    void operator()(const load_report& event) {
        if (this->state.role == planner_role::leading) {
            internal::take_report(this->state, event);
        }
    }

    void operator()(const platform::transaction_done& event) {
        const bool of_role = internal::take_role_result(
            this->state, event, this->now, this->actions
        );
        if (!of_role) {
            this->take_change_result(event);
        }
        advance(this->state, this->now, this->actions);
    }

    void operator()(const platform::rows_read& event) {
        const bool of_role = internal::take_role_result(
            this->state, event, this->now, this->actions
        );
        if (!of_role) {
            this->take_map_rows(event);
        }
        advance(this->state, this->now, this->actions);
    }

    void take_change_result(const platform::transaction_done& event) {
        auto& sent = this->state.sent;
        if (!sent || sent->id != event.id) {
            return;
        }
        if (event.result.status == platform::commit_status::committed) {
            absorb_committed(
                this->state.reader.rows, sent->change, event.result
            );
            apply_change(this->state.map, sent->change);
            this->state.shown_version =
                std::max(this->state.shown_version, this->state.map.version);
            this->actions.emplace_back(share_change{std::move(sent->change)});
            sent.reset();
            return;
        }
        // A change whose answer was lost is settled by the next read; should
        // it take effect later still, our next change meets a conflict.
        sent.reset();
        this->state.map_current = false;
        forget_unwritten_moves(this->state);
        const bool conflict =
            event.result.status == platform::commit_status::conflict;
        this->state.retry_at =
            this->now + (conflict ? conflict_retry : outage_retry);
    }

    void take_map_rows(const platform::rows_read& event) {
        if (this->state.reader.status != reader_status::reading) {
            return;
        }
        for (auto& one : take_rows(this->state.reader, event)) {
            this->actions.emplace_back(std::move(one));
        }
        if (this->state.reader.status == reader_status::failed) {
            this->state.retry_at = this->now + outage_retry;
        }
        if (this->state.reader.status == reader_status::idle) {
            take_map(this->state, this->actions);
        }
    }
};

} // namespace

double imbalance_tolerance(const planner_weights& weights) {
    constexpr double base = 0.1;
    constexpr double least = 0.05;
    constexpr double most = 0.5;
    const double cost = weights.churn + 0.5 * weights.unavailable_time;
    const double gain = std::max(weights.imbalance, 0.01);
    return std::clamp(base * cost / gain, least, most);
}

planner_actions step(
    planner& planner,
    const planner_event& event,
    instant now,
    random_source& random
) {
    planner_step decide{planner, now, random, {}};
    std::visit(decide, event);
    return std::move(decide.actions);
}

} // namespace apricotstile::assignment
