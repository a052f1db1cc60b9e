// Detects, probes and closes silent connections.

#include <apricotstile/upstream/connection_watch.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

using found_connection = std::map<connection_id, watched_connection>::iterator;

settlement settle_as(
    const connection_watch& state, const waiting_exchange& work, instant now
) {
    const bool safe =
        work.idempotent || state.policy.faults.retries_non_idempotent;
    return safe && now < work.deadline ? settlement::retry
                                       : settlement::unknown;
}

/// Closes a connection and fails all requests in flight on it.
void give_up(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    actions.emplace_back(close_connection{found->first});
    for (const auto& [id, work] : found->second.waiting) {
        actions.emplace_back(settle_work{id, settle_as(state, work, now)});
    }
    state.connections.erase(found);
}

/// Closes the idle connections to `path` that had no recent traffic. What made
/// one connection silent may have affected all that were open at the time, and
/// each would cost another request its deadline.
void close_idle(
    connection_watch& state, path_id path, instant now, watch_actions& actions
) {
    if (state.policy.faults.keeps_idle_connections) {
        return;
    }
    for (auto it = state.connections.begin(); it != state.connections.end();) {
        const auto found = it++;
        const watched_connection& one = found->second;
        const bool fresh = now - one.quiet_since < state.policy.grace;
        if (one.path == path && one.waiting.empty() && !fresh) {
            ++state.counters.idle_closed;
            give_up(state, found, now, actions);
        }
    }
}

void declare_silent(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    const path_id path = found->second.path;
    ++state.counters.silent_connections;
    give_up(state, found, now, actions);
    close_idle(state, path, now, actions);
}

instant earliest_deadline(const watched_connection& one) {
    instant earliest = instant::max();
    for (const auto& [id, work] : one.waiting) {
        earliest = std::min(earliest, work.deadline);
    }
    return earliest;
}

bool all_idempotent(const watched_connection& one) {
    return std::all_of(
        one.waiting.begin(),
        one.waiting.end(),
        [](const auto& entry) {
            return entry.second.idempotent;
        }
    );
}

void trust(watched_connection& one, instant now) {
    one.state = watch_state::trusted;
    one.quiet_since = now;
}

void start_probe(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    watched_connection& one = found->second;
    one.state = watch_state::probing;
    one.due = now + state.policy.probe_timeout;
    ++state.counters.probes;
    actions.emplace_back(open_probe{found->first, one.path});
}

/// Handles a failed probe or the end of the grace period after an answered one.
void end_suspicion(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    watched_connection& one = found->second;
    if (one.state == watch_state::probing) {
        ++state.counters.probes_failed;
        declare_silent(state, found, now, actions);
        return;
    }
    // The upstream may only be slow, so requests that can't be retried wait
    // until their deadline.
    if (one.answers_pings || all_idempotent(one)) {
        declare_silent(state, found, now, actions);
        return;
    }
    trust(one, now);
}

void lose_deadline(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    ++state.counters.deadlines_lost;
    declare_silent(state, found, now, actions);
}

/// How long `one` may have no traffic before it is probed.
duration
patience(const connection_watch& state, const watched_connection& one) {
    duration longest = state.policy.silence;
    for (const auto& [id, work] : one.waiting) {
        longest = std::max(longest, state.policy.patience * work.expected);
    }
    return longest;
}

/// Fails requests past their deadline on a link that carries others too. Only
/// missing traffic closes the link itself.
void settle_overdue(
    connection_watch& state,
    watched_connection& one,
    instant now,
    watch_actions& actions
) {
    for (auto it = one.waiting.begin(); it != one.waiting.end();) {
        const auto found = it++;
        if (found->second.deadline <= now) {
            ++state.counters.deadlines_lost;
            actions.emplace_back(settle_work{found->first, settlement::unknown}
            );
            one.waiting.erase(found);
        }
    }
}

instant due_at(const connection_watch& state, const watched_connection& one) {
    if (one.waiting.empty()) {
        return instant::max();
    }
    const instant deadline = earliest_deadline(one);
    if (one.state != watch_state::trusted) {
        return std::min(deadline, one.due);
    }
    if (state.policy.faults.never_probes) {
        return deadline;
    }
    return std::min(deadline, one.quiet_since + patience(state, one));
}

void handle_due(
    connection_watch& state,
    found_connection found,
    instant now,
    watch_actions& actions
) {
    watched_connection& one = found->second;
    if (one.answers_pings) {
        settle_overdue(state, one, now, actions);
    }
    if (due_at(state, one) > now) {
        return;
    }
    if (earliest_deadline(one) <= now) {
        lose_deadline(state, found, now, actions);
    } else if (one.state == watch_state::trusted) {
        start_probe(state, found, now, actions);
    } else {
        end_suspicion(state, found, now, actions);
    }
}

void on(
    connection_watch& state,
    const connection_opened& event,
    instant now,
    watch_actions& /*actions*/
) {
    watched_connection one;
    one.path = event.path;
    one.answers_pings = event.answers_pings;
    one.quiet_since = now;
    state.connections.emplace(event.connection, std::move(one));
}

void on(
    connection_watch& state,
    const connection_closed& event,
    instant now,
    watch_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        give_up(state, found, now, actions);
    }
}

void on(
    connection_watch& state,
    const exchange_started& event,
    instant now,
    watch_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found == state.connections.end()) {
        const waiting_exchange work{event.idempotent, event.deadline, {}};
        actions.emplace_back(settle_work{
            event.work, settle_as(state, work, now)});
        return;
    }
    watched_connection& one = found->second;
    if (one.waiting.empty()) {
        trust(one, now);
    }
    one.waiting.emplace(
        event.work,
        waiting_exchange{event.idempotent, event.deadline, event.expected}
    );
}

void on(
    connection_watch& state,
    const exchange_ended& event,
    instant now,
    watch_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        found->second.waiting.erase(event.work);
        trust(found->second, now);
    }
}

void on(
    connection_watch& state,
    const traffic_seen& event,
    instant now,
    watch_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        trust(found->second, now);
    }
}

void on(
    connection_watch& state,
    const probe_answered& event,
    instant now,
    watch_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end() &&
        found->second.state == watch_state::probing) {
        found->second.state = watch_state::last_chance;
        found->second.due = now + state.policy.grace;
    }
}

void on(
    connection_watch& state,
    const probe_failed& event,
    instant now,
    watch_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end() &&
        found->second.state == watch_state::probing) {
        end_suspicion(state, found, now, actions);
    }
}

void on(
    connection_watch& state,
    const watch_ticked& /*event*/,
    instant now,
    watch_actions& actions
) {
    std::vector<connection_id> due;
    for (const auto& [id, one] : state.connections) {
        if (due_at(state, one) <= now) {
            due.push_back(id);
        }
    }
    for (const connection_id id : due) {
        const auto found = state.connections.find(id);
        if (found == state.connections.end()) {
            continue;
        }
        handle_due(state, found, now, actions);
    }
}

} // namespace

watch_actions
step(connection_watch& state, const watch_event& event, instant now) {
    watch_actions actions;
    std::visit(
        [&](const auto& one) {
            on(state, one, now, actions);
        },
        event
    );
    return actions;
}

bool may_use(
    const connection_watch& state, connection_id connection, instant now
) {
    const auto found = state.connections.find(connection);
    if (found == state.connections.end()) {
        return false;
    }
    const watched_connection& one = found->second;
    return one.state == watch_state::trusted &&
           now - one.quiet_since < state.policy.longest_idle;
}

instant next_wake_up(const connection_watch& state) {
    instant soonest = instant::max();
    for (const auto& [id, one] : state.connections) {
        soonest = std::min(soonest, due_at(state, one));
    }
    return soonest;
}

} // namespace apricotstile::upstream
