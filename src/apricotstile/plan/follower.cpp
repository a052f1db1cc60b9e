// Announces, fetches and adopts versions.

#include <apricotstile/plan/follower.hpp>
#include <apricotstile/plan/internal/plan_transfer.hpp>

#include <algorithm>

namespace apricotstile::plan {

namespace {

using follower_actions = std::vector<follower_action>;

/// State shared by the handlers of one step.
struct step_context {
    follower_state& state;
    instant now;
    random_source& random;
    follower_actions actions;
};

plan_version held_number(const follower_state& state) {
    return state.held ? state.held->record.version : plan_version{};
}

void send(step_context& context, host_id to, plan_message message) {
    context.actions.emplace_back(send_plan_message{to, std::move(message)});
}

void send_digest(step_context& context, host_id to, bool wants_reply) {
    plan_digest digest = digest_for(context.state, to);
    digest.wants_reply = wants_reply;
    send(context, to, digest);
}

std::vector<host_id> random_members(step_context& context, std::size_t count) {
    std::vector<host_id> chosen;
    const std::vector<host_id>& members = context.state.members;
    std::sample(
        members.begin(),
        members.end(),
        std::back_inserter(chosen),
        static_cast<std::ptrdiff_t>(count),
        context.random
    );
    return chosen;
}

void update_ready(step_context& context) {
    follower_state& state = context.state;
    // More than half of all hosts, this one included.
    const std::size_t needed = (state.members.size() + 1) / 2 + 1;
    const bool asked_enough = state.table_answered ||
                              state.peers_answered.size() >= needed ||
                              state.policy.fault_ready_at_once;
    const bool becomes_ready = !state.ready && state.held && asked_enough &&
                               held_number(state) >= state.floor;
    if (becomes_ready) {
        state.ready = true;
        context.actions.emplace_back(version_in_force{held_number(state)});
    }
}

void raise_floor(step_context& context, plan_version version) {
    context.state.floor = std::max(context.state.floor, version);
}

void adopt(step_context& context, held_version version) {
    follower_state& state = context.state;
    if (version.record.version <= held_number(state)) {
        return;
    }
    internal::keep_difference(state, version.lists, version.record.version);
    state.held = std::move(version);
    raise_floor(context, held_number(state));
    state.urgent_until = context.now + state.policy.urgent_gossip_time;
    state.next_gossip = context.now + state.policy.urgent_gossip_interval;
    if (state.table_head && state.table_head->version <= held_number(state)) {
        state.table_head.reset();
    }
    if (state.ready) {
        context.actions.emplace_back(version_in_force{held_number(state)});
    }
    update_ready(context);
    for (const host_id member : random_members(context, state.policy.fanout)) {
        send_digest(context, member, false);
    }
}

void ask(step_context& context) {
    plan_fetch& fetch = *context.state.fetch;
    fetch.asked = context.now;
    send(
        context,
        fetch.peer,
        fetch_plan{
            held_number(context.state),
            fetch.whole,
            fetch.want,
            static_cast<std::uint32_t>(fetch.bytes.size())}
    );
}

void start_fetch(
    step_context& context, host_id peer, plan_version want, bool whole
) {
    context.state.fetch =
        plan_fetch{peer, want, whole, {}, {}, {}, context.now, 0};
    ask(context);
}

void get_body(step_context& context) {
    follower_state& state = context.state;
    if (!state.table_head || state.getting) {
        return;
    }
    state.last_operation = next(state.last_operation);
    state.getting = state.last_operation;
    state.getting_since = context.now;
    context.actions.emplace_back(platform::get_object{
        state.last_operation, state.table_head->body});
}

/// Fetches a newer version from a random peer among those that announced the
/// newest one. When no peer did but the table names a newer version, reads the
/// object store.
void seek_newer(step_context& context) {
    follower_state& state = context.state;
    const bool is_newest =
        state.newest_seen <= held_number(state) && !state.table_head;
    if (state.fetch || is_newest) {
        return;
    }
    plan_version best = held_number(state);
    std::vector<host_id> holders;
    for (const host_id member : state.members) {
        const auto found = state.seen.find(member);
        if (found == state.seen.end() || found->second < best) {
            continue;
        }
        if (found->second > best) {
            holders.clear();
            best = found->second;
        }
        holders.push_back(member);
    }
    if (best > held_number(state)) {
        const auto at = random_below(context.random, holders.size());
        start_fetch(context, holders[at], best, false);
        return;
    }
    get_body(context);
}

void read_table(step_context& context) {
    follower_state& state = context.state;
    if (state.reading) {
        return;
    }
    state.last_operation = next(state.last_operation);
    state.reading = state.last_operation;
    state.reading_since = context.now;
    context.actions.emplace_back(platform::read_rows{
        state.last_operation, head_row_key});
}

duration table_interval(step_context& context) {
    const follower_policy& policy = context.state.policy;
    const auto count =
        static_cast<duration::rep>(context.state.members.size() + 1);
    const duration whole = std::max(
        policy.shortest_table_read_interval, count * policy.table_read_spacing
    );
    // Jitter, so that daemons that started together don't read together.
    const auto half = static_cast<std::uint64_t>(whole.count() / 2);
    return duration{static_cast<duration::rep>(
        half + random_below(context.random, 2 * half)
    )};
}

void on_event(step_context& context, const follower_started&) {
    context.state.next_gossip = context.now;
    context.state.next_table_read = context.now + table_interval(context);
    read_table(context);
}

void on_event(step_context& context, const plan_members_changed& event) {
    follower_state& state = context.state;
    state.members = event.members;
    std::erase(state.members, state.self);
    std::erase_if(state.seen, [&](const auto& entry) {
        return std::find(
                   state.members.begin(), state.members.end(), entry.first
               ) == state.members.end();
    });
}

void on_message(
    step_context& context, host_id from, const plan_digest& digest
) {
    follower_state& state = context.state;
    plan_version& seen = state.seen[from];
    seen = std::max(seen, digest.version);
    state.newest_seen = std::max(state.newest_seen, digest.version);
    plan_version& floor = state.floors[from];
    floor = std::max(floor, digest.version);
    raise_floor(context, digest.receivers_floor);
    state.in_force_at[from] = digest.in_force ? digest.version : plan_version{};
    if (digest.in_force) {
        state.peers_answered.insert(from);
    }
    if (digest.version > held_number(state)) {
        seek_newer(context);
    } else if (digest.wants_reply || digest.version < held_number(state)) {
        send_digest(context, from, false);
    }
    update_ready(context);
}

void on_message(step_context& context, host_id from, const fetch_plan& asked) {
    follower_state& state = context.state;
    if (!state.held || asked.have >= held_number(state)) {
        send_digest(context, from, false);
        return;
    }
    send(context, from, internal::make_part(state, asked));
}

void finish_fetch(step_context& context, const plan_part& last) {
    follower_state& state = context.state;
    plan_fetch fetch = std::move(*state.fetch);
    state.fetch.reset();
    auto version =
        internal::assemble(state, last.record, last.from, fetch.bytes);
    if (version) {
        adopt(context, std::move(*version));
        seek_newer(context);
    } else if (!fetch.whole) {
        start_fetch(context, fetch.peer, last.record.version, true);
    }
}

void on_message(step_context& context, host_id from, const plan_part& part) {
    follower_state& state = context.state;
    if (!state.fetch || state.fetch->peer != from) {
        return;
    }
    plan_fetch& fetch = *state.fetch;
    const bool same =
        fetch.record == std::optional{part.record} && fetch.from == part.from;
    const bool restarted = part.offset == 0 && !same;
    if (restarted) {
        fetch.record = part.record;
        fetch.from = part.from;
        fetch.want = part.record.version;
        fetch.bytes.clear();
    }
    const bool follows =
        (same || restarted) && part.offset == fetch.bytes.size();
    if (!follows) {
        return;
    }
    fetch.bytes += part.bytes;
    fetch.unanswered = 0;
    if (fetch.bytes.size() < part.total) {
        ask(context);
        return;
    }
    finish_fetch(context, part);
}

void on_event(step_context& context, const plan_message_received& event) {
    std::visit(
        [&](const auto& message) {
            on_message(context, event.from, message);
        },
        event.message
    );
}

void on_event(step_context& context, const version_applied& event) {
    adopt(context, internal::hold(event.body));
}

void on_event(step_context& context, const status_requested&) {
    context.state.poll_until = context.now + context.state.policy.poll_duration;
}

void on_event(step_context& context, const platform::rows_read& event) {
    follower_state& state = context.state;
    if (state.reading != event.id) {
        return;
    }
    state.reading.reset();
    if (!event.result.answered) {
        return;
    }
    state.table_answered = true;
    for (const platform::row& row : event.result.rows) {
        if (row.key.value != head_row_key) {
            continue;
        }
        const auto record = decode<version_record>(row.value);
        raise_floor(context, record.version);
        if (record.version > held_number(state)) {
            state.table_head = record;
            seek_newer(context);
        }
    }
    update_ready(context);
}

void on_event(step_context& context, const platform::object_got& event) {
    follower_state& state = context.state;
    if (state.getting != event.id) {
        return;
    }
    state.getting.reset();
    if (!event.found || !state.table_head) {
        return;
    }
    if (content_name(event.body) == state.table_head->body) {
        adopt(context, internal::hold(decode<version_body>(event.body)));
    }
}

/// Requests the same part again, or abandons the peer after
/// `follower_policy::fetch_attempts` timeouts.
void retry_fetch(step_context& context) {
    follower_state& state = context.state;
    if (++state.fetch->unanswered < state.policy.fetch_attempts) {
        ask(context);
        return;
    }
    // The peer's next digest makes it a candidate again.
    state.seen.erase(state.fetch->peer);
    state.fetch.reset();
}

void drop_overdue(step_context& context) {
    follower_state& state = context.state;
    const follower_policy& policy = state.policy;
    if (state.reading &&
        context.now - state.reading_since > policy.platform_timeout) {
        state.reading.reset();
    }
    if (state.getting &&
        context.now - state.getting_since > policy.platform_timeout) {
        state.getting.reset();
    }
    if (state.fetch &&
        context.now - state.fetch->asked > policy.fetch_timeout) {
        retry_fetch(context);
    }
}

void gossip(step_context& context) {
    follower_state& state = context.state;
    if (context.now < state.next_gossip) {
        return;
    }
    const bool urgent = context.now < state.urgent_until;
    state.next_gossip =
        context.now + (urgent ? state.policy.urgent_gossip_interval
                              : state.policy.gossip_interval);
    for (const host_id member : random_members(context, 1)) {
        send_digest(context, member, !state.ready);
    }
}

/// Whether to poll `member` for its version: for an operator's status, or to
/// become ready without the table.
bool wants_digest(const step_context& context, host_id member) {
    const follower_state& state = context.state;
    if (!state.ready && !state.table_answered) {
        return !state.peers_answered.contains(member);
    }
    if (context.now >= state.poll_until) {
        return false;
    }
    const auto there = state.in_force_at.find(member);
    return there == state.in_force_at.end() ||
           there->second < held_number(state);
}

void poll_members(step_context& context) {
    follower_state& state = context.state;
    const bool starting = !state.ready && !state.table_answered;
    if (!starting && context.now >= state.poll_until) {
        return;
    }
    std::uint32_t left = state.policy.polls_per_tick;
    for (const host_id member : state.members) {
        if (!wants_digest(context, member)) {
            continue;
        }
        const auto polled = state.polled.find(member);
        const bool too_soon =
            polled != state.polled.end() &&
            context.now - polled->second < state.policy.poll_interval;
        if (too_soon) {
            continue;
        }
        if (left-- == 0) {
            return;
        }
        state.polled[member] = context.now;
        send_digest(context, member, true);
    }
}

void on_event(step_context& context, const follower_tick&) {
    follower_state& state = context.state;
    drop_overdue(context);
    seek_newer(context);
    gossip(context);
    poll_members(context);
    const bool urgent = !state.ready && !state.table_answered;
    if (urgent || context.now >= state.next_table_read) {
        state.next_table_read = context.now + table_interval(context);
        read_table(context);
    }
}

} // namespace

std::vector<follower_action> step(
    follower_state& state,
    const follower_event& event,
    instant now,
    random_source& random
) {
    step_context context{state, now, random, {}};
    std::visit(
        [&](const auto& one) {
            on_event(context, one);
        },
        event
    );
    return std::move(context.actions);
}

const held_version* in_force(const follower_state& state) {
    return state.ready ? &*state.held : nullptr;
}

plan_digest digest_for(const follower_state& state, host_id peer) {
    const auto floor = state.floors.find(peer);
    return {
        held_number(state),
        floor == state.floors.end() ? plan_version{} : floor->second,
        false,
        state.ready};
}

} // namespace apricotstile::plan
