// Handling of heartbeats: which ranges to grant, and which were released.

#include <apricotstile/keys/key_owner.hpp>

#include <apricotstile/keys/grants_by_call.hpp>

#include <algorithm>

namespace apricotstile::keys {

namespace {

/// Records another instance, or another run of it, than the daemon has known
/// since its start. The previous one may be up and hold its keys until its last
/// grant expires.
void set_instance(key_owner& state, const directory::instance_run& instance) {
    if (state.calls.instance && *state.calls.instance != instance) {
        const instance_call_id last_id = state.calls.last_id;
        state.calls = {};
        state.calls.last_id = last_id;
    }
    if (state.granted_instance && *state.granted_instance != instance) {
        state.earlier_grants_expire_at =
            std::max(state.earlier_grants_expire_at, state.grants_expire_at);
    }
    forget_release_responses(state);
    state.calls.instance = instance;
    state.instance = instance;
    state.granted_ranges.clear();
}

/// Records the handover of a released range. Splits a release of which the
/// instance has released only a part.
void record_release(key_owner& state, const released_range& released) {
    std::vector<range_release> result;
    for (range_release& one : state.releases) {
        if (!overlap(one.keys, released.keys)) {
            result.push_back(one);
            continue;
        }
        const key_range common{
            std::max(one.keys.first, released.keys.first),
            std::min(one.keys.last, released.keys.last)};
        if (one.keys.first < common.first) {
            range_release left = one;
            left.keys.last = common.first - 1;
            result.push_back(left);
        }
        range_release middle = one;
        middle.keys = common;
        middle.handover = released.handover;
        result.push_back(middle);
        if (one.keys.last > common.last) {
            range_release right = one;
            right.keys.first = common.last + 1;
            result.push_back(right);
        }
    }
    state.releases = std::move(result);
}

bool is_held(const heartbeat& beat, const key_range& keys) {
    return std::any_of(
        beat.holds.begin(),
        beat.holds.end(),
        [&](const held_range& held) {
            return overlap(held.keys, keys);
        }
    );
}

/// Whether a part of `keys` is assigned to the current instance.
bool is_assigned(const key_owner& state, const key_range& keys) {
    return std::any_of(
        state.map.ranges.begin(),
        state.map.ranges.end(),
        [&](const owned_range& one) {
            return overlap(one.keys, keys) && one.instance == state.instance;
        }
    );
}

/// Whether no answer that grants the range to the current instance can take
/// effect any more.
bool no_grant_outstanding(
    const key_owner& state, const range_release& one, instant now
) {
    if (now >= state.grants_expire_at || !is_assigned(state, one.keys)) {
        return true;
    }
    if (!one.omitted_at) {
        return false;
    }
    // A handover proves that the instance accepted an answer that omits the
    // range.
    return !one.handover.empty() ||
           now >= *one.omitted_at + state.policy.answer_timeout;
}

/// The longest grant that expires before the lease even on a slow clock; zero
/// if the lease has expired.
duration grant_duration_within_lease(const key_owner& state, instant now) {
    const instant end = lease_end(state);
    if (end <= now) {
        return duration{0};
    }
    const duration left = end - now - state.policy.lease.safety_margin;
    return std::min(
        state.policy.max_grant_duration,
        scaled(left, 1.0 / (1.0 + state.policy.lease.clock_drift))
    );
}

} // namespace

heartbeat_answer
handle_heartbeat(key_owner& state, const heartbeat& beat, instant now) {
    if (state.instance != beat.instance) {
        set_instance(state, beat.instance);
    }
    if (state.policy.method == routing::grant_method::call) {
        confirm_release_responses(state, now);
        return {};
    }
    for (const released_range& released : beat.released) {
        record_release(state, released);
    }
    for (range_release& one : state.releases) {
        one.is_released =
            one.is_released ||
            (!is_held(beat, one.keys) &&
             no_grant_outstanding(state, one, now) &&
             !may_be_held_by_earlier_instance(state, one.keys, now));
    }
    heartbeat_answer answer;
    const duration grant_duration = grant_duration_within_lease(state, now);
    if (!state.rows_known || grant_duration < state.policy.min_grant_duration) {
        return answer;
    }
    answer.grants = true;
    answer.grant_duration = grant_duration;
    state.granted_instance = beat.instance;
    state.granted_ranges.clear();
    for (owned_range& one : kept_ranges(state)) {
        if (one.instance != beat.instance ||
            answer.keys.size() >= state.policy.max_ranges_per_answer) {
            continue;
        }
        state.granted_ranges.push_back(one.keys);
        answer.keys.push_back({one.keys, one.fence, std::move(one.handover)});
    }
    for (range_release& one : state.releases) {
        one.omitted_at = one.omitted_at.value_or(now);
    }
    state.grants_expire_at = std::max(
        state.grants_expire_at,
        now + scaled(grant_duration, 1.0 + state.policy.lease.clock_drift) +
            state.policy.lease.safety_margin
    );
    return answer;
}

void handle_instance_stopped(key_owner& state) {
    state.instance.reset();
    state.granted_ranges.clear();
    for (called_grant& one : state.calls.grants) {
        one.usable_until = instant::min();
    }
}

void start_release(key_owner& state, const key_range& keys, host_id target) {
    range_release added;
    added.keys = keys;
    added.target = target;
    state.releases.push_back(added);
}

std::size_t cancel_releases(key_owner& state) {
    return std::erase_if(state.releases, [](const range_release& one) {
        return !one.omitted_at && !one.is_released && !one.is_sent &&
               one.pending_call == instance_call_id{} && one.handover.empty();
    });
}

} // namespace apricotstile::keys
