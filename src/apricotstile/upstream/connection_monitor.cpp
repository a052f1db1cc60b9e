// Detects, probes and closes silent connections.

#include <apricotstile/upstream/connection_monitor.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

using connection_iterator =
    std::map<connection_id, monitored_connection>::iterator;

exchange_outcome failure_outcome(
    const connection_monitor& state, const pending_exchange& work, instant now
) {
    const bool safe =
        work.idempotent || state.policy.faults.retries_non_idempotent;
    return safe && now < work.deadline ? exchange_outcome::retry
                                       : exchange_outcome::unknown;
}

/// Closes a connection and fails all requests in flight on it.
void close_and_fail(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    actions.emplace_back(close_connection{found->first});
    for (const auto& [id, work] : found->second.pending) {
        actions.emplace_back(fail_exchange{
            id, failure_outcome(state, work, now)});
    }
    state.connections.erase(found);
}

/// Closes the idle connections to `address` that had no recent traffic. What
/// made one connection silent may have affected all that were open at the time,
/// and each would cost another request its deadline.
void close_idle_connections(
    connection_monitor& state,
    address_id address,
    instant now,
    connection_actions& actions
) {
    if (state.policy.faults.keeps_idle_connections) {
        return;
    }
    for (auto it = state.connections.begin(); it != state.connections.end();) {
        const auto found = it++;
        const monitored_connection& one = found->second;
        const bool fresh = now - one.silent_since < state.policy.grace_period;
        if (one.address == address && one.pending.empty() && !fresh) {
            ++state.counters.idle_connections_closed;
            close_and_fail(state, found, now, actions);
        }
    }
}

void close_silent(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    const address_id address = found->second.address;
    ++state.counters.silent_connections;
    close_and_fail(state, found, now, actions);
    close_idle_connections(state, address, now, actions);
}

instant earliest_deadline(const monitored_connection& one) {
    instant earliest = instant::max();
    for (const auto& [id, work] : one.pending) {
        earliest = std::min(earliest, work.deadline);
    }
    return earliest;
}

bool all_idempotent(const monitored_connection& one) {
    return std::all_of(
        one.pending.begin(),
        one.pending.end(),
        [](const auto& entry) {
            return entry.second.idempotent;
        }
    );
}

void mark_healthy(monitored_connection& one, instant now) {
    one.state = connection_state::healthy;
    one.silent_since = now;
}

void start_probe(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    monitored_connection& one = found->second;
    one.state = connection_state::probing;
    one.due = now + state.policy.probe_timeout;
    ++state.counters.probes;
    actions.emplace_back(open_probe{found->first, one.address});
}

/// Handles a failed probe or the end of the grace period after an answered one.
void conclude_probe(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    monitored_connection& one = found->second;
    if (one.state == connection_state::probing) {
        ++state.counters.probes_failed;
        close_silent(state, found, now, actions);
        return;
    }
    // The upstream may only be slow, so requests that can't be retried wait
    // until their deadline.
    if (one.answers_pings || all_idempotent(one)) {
        close_silent(state, found, now, actions);
        return;
    }
    mark_healthy(one, now);
}

void handle_missed_deadline(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    ++state.counters.deadlines_missed;
    close_silent(state, found, now, actions);
}

/// How long `one` may have no traffic before it is probed.
duration allowed_silence(
    const connection_monitor& state, const monitored_connection& one
) {
    duration longest = state.policy.min_silence;
    for (const auto& [id, work] : one.pending) {
        longest = std::max(
            longest, state.policy.silence_factor * work.expected_duration
        );
    }
    return longest;
}

/// Fails requests past their deadline on a link that carries others too. Only
/// missing traffic closes the link itself.
void fail_overdue(
    connection_monitor& state,
    monitored_connection& one,
    instant now,
    connection_actions& actions
) {
    for (auto it = one.pending.begin(); it != one.pending.end();) {
        const auto found = it++;
        if (found->second.deadline <= now) {
            ++state.counters.deadlines_missed;
            actions.emplace_back(fail_exchange{
                found->first, exchange_outcome::unknown});
            one.pending.erase(found);
        }
    }
}

instant
due_at(const connection_monitor& state, const monitored_connection& one) {
    if (one.pending.empty()) {
        return instant::max();
    }
    const instant deadline = earliest_deadline(one);
    if (one.state != connection_state::healthy) {
        return std::min(deadline, one.due);
    }
    if (state.policy.faults.never_probes) {
        return deadline;
    }
    return std::min(deadline, one.silent_since + allowed_silence(state, one));
}

void handle_due(
    connection_monitor& state,
    connection_iterator found,
    instant now,
    connection_actions& actions
) {
    monitored_connection& one = found->second;
    if (one.answers_pings) {
        fail_overdue(state, one, now, actions);
    }
    if (due_at(state, one) > now) {
        return;
    }
    if (earliest_deadline(one) <= now) {
        handle_missed_deadline(state, found, now, actions);
    } else if (one.state == connection_state::healthy) {
        start_probe(state, found, now, actions);
    } else {
        conclude_probe(state, found, now, actions);
    }
}

void on(
    connection_monitor& state,
    const connection_opened& event,
    instant now,
    connection_actions& /*actions*/
) {
    monitored_connection one;
    one.address = event.address;
    one.answers_pings = event.answers_pings;
    one.silent_since = now;
    state.connections.emplace(event.connection, std::move(one));
}

void on(
    connection_monitor& state,
    const connection_closed& event,
    instant now,
    connection_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        close_and_fail(state, found, now, actions);
    }
}

void on(
    connection_monitor& state,
    const exchange_started& event,
    instant now,
    connection_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found == state.connections.end()) {
        const pending_exchange work{event.idempotent, event.deadline, {}};
        actions.emplace_back(fail_exchange{
            event.work, failure_outcome(state, work, now)});
        return;
    }
    monitored_connection& one = found->second;
    if (one.pending.empty()) {
        mark_healthy(one, now);
    }
    one.pending.emplace(
        event.work,
        pending_exchange{
            event.idempotent, event.deadline, event.expected_duration}
    );
}

void on(
    connection_monitor& state,
    const exchange_ended& event,
    instant now,
    connection_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        found->second.pending.erase(event.work);
        mark_healthy(found->second, now);
    }
}

void on(
    connection_monitor& state,
    const traffic_seen& event,
    instant now,
    connection_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end()) {
        mark_healthy(found->second, now);
    }
}

void on(
    connection_monitor& state,
    const probe_answered& event,
    instant now,
    connection_actions& /*actions*/
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end() &&
        found->second.state == connection_state::probing) {
        found->second.state = connection_state::awaiting_traffic;
        found->second.due = now + state.policy.grace_period;
    }
}

void on(
    connection_monitor& state,
    const probe_failed& event,
    instant now,
    connection_actions& actions
) {
    const auto found = state.connections.find(event.connection);
    if (found != state.connections.end() &&
        found->second.state == connection_state::probing) {
        conclude_probe(state, found, now, actions);
    }
}

void on(
    connection_monitor& state,
    const timer_expired& /*event*/,
    instant now,
    connection_actions& actions
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

connection_actions
step(connection_monitor& state, const connection_event& event, instant now) {
    connection_actions actions;
    std::visit(
        [&](const auto& one) {
            on(state, one, now, actions);
        },
        event
    );
    return actions;
}

bool may_use(
    const connection_monitor& state, connection_id connection, instant now
) {
    const auto found = state.connections.find(connection);
    if (found == state.connections.end()) {
        return false;
    }
    const monitored_connection& one = found->second;
    return one.state == connection_state::healthy &&
           now - one.silent_since < state.policy.max_idle_time;
}

instant next_wake_up(const connection_monitor& state) {
    instant soonest = instant::max();
    for (const auto& [id, one] : state.connections) {
        soonest = std::min(soonest, due_at(state, one));
    }
    return soonest;
}

} // namespace apricotstile::upstream
