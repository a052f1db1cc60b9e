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

plan_version current_version(const follower_state& state) {
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
    const bool min_version_confirmed =
        state.table_answered || state.ready_peers.size() >= needed ||
        state.policy.fault_ready_without_majority;
    const bool becomes_ready = !state.ready && state.held &&
                               min_version_confirmed &&
                               current_version(state) >= state.min_version;
    if (becomes_ready) {
        state.ready = true;
        context.actions.emplace_back(version_in_force{current_version(state)});
    }
}

void raise_min_version(step_context& context, plan_version version) {
    context.state.min_version = std::max(context.state.min_version, version);
}

void adopt(step_context& context, held_version version) {
    follower_state& state = context.state;
    if (version.record.version <= current_version(state)) {
        return;
    }
    internal::record_difference(state, version.lists, version.record.version);
    state.held = std::move(version);
    raise_min_version(context, current_version(state));
    state.urgent_until = context.now + state.policy.urgent_gossip_duration;
    state.next_gossip = context.now + state.policy.urgent_gossip_interval;
    if (state.table_head &&
        state.table_head->version <= current_version(state)) {
        state.table_head.reset();
    }
    if (state.ready) {
        context.actions.emplace_back(version_in_force{current_version(state)});
    }
    update_ready(context);
    for (const host_id member : random_members(context, state.policy.fanout)) {
        send_digest(context, member, false);
    }
}

void request_part(step_context& context) {
    plan_fetch& fetch = *context.state.fetch;
    fetch.requested_at = context.now;
    send(
        context,
        fetch.peer,
        fetch_plan{
            current_version(context.state),
            fetch.full_body,
            fetch.wanted_version,
            static_cast<std::uint32_t>(fetch.bytes.size())}
    );
}

void start_fetch(
    step_context& context,
    host_id peer,
    plan_version wanted_version,
    bool full_body
) {
    context.state.fetch =
        plan_fetch{peer, wanted_version, full_body, {}, {}, {}, context.now, 0};
    request_part(context);
}

void read_body(step_context& context) {
    follower_state& state = context.state;
    if (!state.table_head || state.pending_body_read) {
        return;
    }
    state.last_operation = next(state.last_operation);
    state.pending_body_read = state.last_operation;
    state.body_read_started = context.now;
    context.actions.emplace_back(platform::get_object{
        state.last_operation, state.table_head->body});
}

/// Fetches a newer version from a random peer among those that announced the
/// newest one. When no peer did but the table names a newer version, reads the
/// object store.
void fetch_newer(step_context& context) {
    follower_state& state = context.state;
    const bool is_newest =
        state.newest_announced <= current_version(state) && !state.table_head;
    if (state.fetch || is_newest) {
        return;
    }
    plan_version newest = current_version(state);
    std::vector<host_id> candidates;
    for (const host_id member : state.members) {
        const auto found = state.announced_versions.find(member);
        if (found == state.announced_versions.end() || found->second < newest) {
            continue;
        }
        if (found->second > newest) {
            candidates.clear();
            newest = found->second;
        }
        candidates.push_back(member);
    }
    if (newest > current_version(state)) {
        const auto at = random_below(context.random, candidates.size());
        start_fetch(context, candidates[at], newest, false);
        return;
    }
    read_body(context);
}

void read_table(step_context& context) {
    follower_state& state = context.state;
    if (state.pending_table_read) {
        return;
    }
    state.last_operation = next(state.last_operation);
    state.pending_table_read = state.last_operation;
    state.table_read_started = context.now;
    context.actions.emplace_back(platform::read_rows{
        state.last_operation, head_row_key});
}

duration table_interval(step_context& context) {
    const follower_policy& policy = context.state.policy;
    const auto count =
        static_cast<duration::rep>(context.state.members.size() + 1);
    const duration interval = std::max(
        policy.min_table_read_interval, count * policy.table_read_spacing
    );
    // Jitter, so that daemons that started together don't read together.
    const auto half = static_cast<std::uint64_t>(interval.count() / 2);
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
    std::erase_if(state.announced_versions, [&](const auto& entry) {
        return std::find(
                   state.members.begin(), state.members.end(), entry.first
               ) == state.members.end();
    });
}

void on_message(
    step_context& context, host_id from, const plan_digest& digest
) {
    follower_state& state = context.state;
    plan_version& announced = state.announced_versions[from];
    announced = std::max(announced, digest.version);
    state.newest_announced = std::max(state.newest_announced, digest.version);
    plan_version& peer_min_version = state.peer_min_versions[from];
    peer_min_version = std::max(peer_min_version, digest.version);
    raise_min_version(context, digest.receiver_min_version);
    state.versions_in_force[from] =
        digest.in_force ? digest.version : plan_version{};
    if (digest.in_force) {
        state.ready_peers.insert(from);
    }
    if (digest.version > current_version(state)) {
        fetch_newer(context);
    } else if (digest.wants_reply || digest.version < current_version(state)) {
        send_digest(context, from, false);
    }
    update_ready(context);
}

void on_message(
    step_context& context, host_id from, const fetch_plan& request
) {
    follower_state& state = context.state;
    if (!state.held || request.base_version >= current_version(state)) {
        send_digest(context, from, false);
        return;
    }
    send(context, from, internal::make_part(state, request));
}

void finish_fetch(step_context& context, const plan_part& last) {
    follower_state& state = context.state;
    plan_fetch fetch = std::move(*state.fetch);
    state.fetch.reset();
    auto version =
        internal::decode_transfer(state, last.record, last.from, fetch.bytes);
    if (version) {
        adopt(context, std::move(*version));
        fetch_newer(context);
    } else if (!fetch.full_body) {
        start_fetch(context, fetch.peer, last.record.version, true);
    }
}

void on_message(step_context& context, host_id from, const plan_part& part) {
    follower_state& state = context.state;
    if (!state.fetch || state.fetch->peer != from) {
        return;
    }
    plan_fetch& fetch = *state.fetch;
    const bool same_transfer =
        fetch.record == std::optional{part.record} && fetch.from == part.from;
    const bool restarted = part.offset == 0 && !same_transfer;
    if (restarted) {
        fetch.record = part.record;
        fetch.from = part.from;
        fetch.wanted_version = part.record.version;
        fetch.bytes.clear();
    }
    const bool is_next_part =
        (same_transfer || restarted) && part.offset == fetch.bytes.size();
    if (!is_next_part) {
        return;
    }
    fetch.bytes += part.bytes;
    fetch.timeouts = 0;
    if (fetch.bytes.size() < part.total) {
        request_part(context);
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
    adopt(context, internal::make_held_version(event.body));
}

void on_event(step_context& context, const status_requested&) {
    context.state.poll_until = context.now + context.state.policy.poll_duration;
}

void on_event(step_context& context, const platform::rows_read& event) {
    follower_state& state = context.state;
    if (state.pending_table_read != event.id) {
        return;
    }
    state.pending_table_read.reset();
    if (!event.result.answered) {
        return;
    }
    state.table_answered = true;
    for (const platform::row& row : event.result.rows) {
        if (row.key.value != head_row_key) {
            continue;
        }
        const auto record = decode<version_record>(row.value);
        raise_min_version(context, record.version);
        if (record.version > current_version(state)) {
            state.table_head = record;
            fetch_newer(context);
        }
    }
    update_ready(context);
}

void on_event(step_context& context, const platform::object_got& event) {
    follower_state& state = context.state;
    if (state.pending_body_read != event.id) {
        return;
    }
    state.pending_body_read.reset();
    if (!event.found || !state.table_head) {
        return;
    }
    if (content_name(event.body) == state.table_head->body) {
        adopt(
            context,
            internal::make_held_version(decode<version_body>(event.body))
        );
    }
}

/// Requests the same part again, or abandons the peer after
/// `follower_policy::fetch_attempts` timeouts.
void retry_fetch(step_context& context) {
    follower_state& state = context.state;
    if (++state.fetch->timeouts < state.policy.fetch_attempts) {
        request_part(context);
        return;
    }
    // The peer's next digest makes it a candidate again.
    state.announced_versions.erase(state.fetch->peer);
    state.fetch.reset();
}

void handle_timeouts(step_context& context) {
    follower_state& state = context.state;
    const follower_policy& policy = state.policy;
    if (state.pending_table_read &&
        context.now - state.table_read_started > policy.platform_timeout) {
        state.pending_table_read.reset();
    }
    if (state.pending_body_read &&
        context.now - state.body_read_started > policy.platform_timeout) {
        state.pending_body_read.reset();
    }
    if (state.fetch &&
        context.now - state.fetch->requested_at > policy.fetch_timeout) {
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
        return !state.ready_peers.contains(member);
    }
    if (context.now >= state.poll_until) {
        return false;
    }
    const auto reported = state.versions_in_force.find(member);
    return reported == state.versions_in_force.end() ||
           reported->second < current_version(state);
}

void poll_members(step_context& context) {
    follower_state& state = context.state;
    const bool starting = !state.ready && !state.table_answered;
    if (!starting && context.now >= state.poll_until) {
        return;
    }
    std::uint32_t remaining_polls = state.policy.polls_per_tick;
    for (const host_id member : state.members) {
        if (!wants_digest(context, member)) {
            continue;
        }
        const auto last_polled = state.last_polled.find(member);
        const bool too_soon =
            last_polled != state.last_polled.end() &&
            context.now - last_polled->second < state.policy.poll_interval;
        if (too_soon) {
            continue;
        }
        if (remaining_polls-- == 0) {
            return;
        }
        state.last_polled[member] = context.now;
        send_digest(context, member, true);
    }
}

void on_event(step_context& context, const follower_tick&) {
    follower_state& state = context.state;
    handle_timeouts(context);
    fetch_newer(context);
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
    const auto peer_min_version = state.peer_min_versions.find(peer);
    return {
        current_version(state),
        peer_min_version == state.peer_min_versions.end()
            ? plan_version{}
            : peer_min_version->second,
        false,
        state.ready};
}

} // namespace apricotstile::plan
