// Grants are renewed early enough for a second attempt after a lost response.

#include <apricotstile/keys/grants_by_call.hpp>

#include <algorithm>
#include <iterator>

namespace apricotstile::keys {

namespace {

/// A grant is renewed after this part of its duration.
constexpr double renewal_fraction = 0.4;

/// How long the instance may hold keys after a call that arrives now.
duration longest_hold(const key_owner& state, duration grant_duration) {
    const lease_policy& lease = state.policy.lease;
    return scaled(grant_duration, 1.0 + lease.clock_drift) +
           lease.safety_margin;
}

/// The longest grant that expires before the lease does, even if the call
/// arrives just before it is aborted.
duration grant_duration_at(const key_owner& state, instant now) {
    const instant end = lease_end(state);
    if (end <= now) {
        return duration{0};
    }
    const duration left = end - now - state.policy.call_timeout -
                          state.policy.lease.safety_margin;
    return std::min(
        state.policy.max_grant_duration,
        scaled(left, 1.0 / (1.0 + state.policy.lease.clock_drift))
    );
}

/// Removes `keys` from the ledger and returns the removed parts.
std::vector<called_grant>
take_grants(std::vector<called_grant>& grants, const key_range& keys) {
    std::vector<called_grant> taken;
    std::vector<called_grant> rest;
    for (const called_grant& one : grants) {
        if (!overlap(one.keys, keys)) {
            rest.push_back(one);
            continue;
        }
        called_grant middle = one;
        if (one.keys.first < keys.first) {
            called_grant left = one;
            left.keys.last = keys.first - 1;
            middle.keys.first = keys.first;
            rest.push_back(left);
        }
        if (one.keys.last > keys.last) {
            called_grant right = one;
            right.keys.first = keys.last + 1;
            middle.keys.last = keys.last;
            rest.push_back(right);
        }
        taken.push_back(middle);
    }
    grants = std::move(rest);
    return taken;
}

/// The entry for exactly these keys and this token, which replaces all that
/// overlap it. How long the instance may hold the keys is the longest of them.
called_grant&
grant_entry(call_ledger& ledger, const key_range& keys, fencing_token fence) {
    called_grant entry;
    entry.keys = keys;
    entry.fence = fence;
    for (const called_grant& one : take_grants(ledger.grants, keys)) {
        entry.expires_at = std::max(entry.expires_at, one.expires_at);
        entry.in_doubt_until =
            std::max(entry.in_doubt_until, one.in_doubt_until);
        if (one.keys == keys && one.fence == fence) {
            entry.usable_until = one.usable_until;
            entry.renew_at = one.renew_at;
        }
    }
    return ledger.grants.emplace_back(entry);
}

const called_grant* find_grant(
    const call_ledger& ledger, const key_range& keys, fencing_token fence
) {
    const auto found = std::find_if(
        ledger.grants.begin(),
        ledger.grants.end(),
        [&](const called_grant& one) {
            return one.keys == keys && one.fence == fence;
        }
    );
    return found == ledger.grants.end() ? nullptr : &*found;
}

bool is_being_granted(const call_ledger& ledger, const key_range& keys) {
    return std::any_of(
        ledger.pending_grants.begin(),
        ledger.pending_grants.end(),
        [&](const auto& pending) {
            return overlap(pending.second.call.keys, keys);
        }
    );
}

/// The latest `limit` of the grants that overlap `keys`.
instant latest(
    const call_ledger& ledger,
    const key_range& keys,
    instant called_grant::*limit
) {
    instant result = instant::min();
    for (const called_grant& one : ledger.grants) {
        if (overlap(one.keys, keys)) {
            result = std::max(result, one.*limit);
        }
    }
    return result;
}

/// The highest token under which this daemon owns a part of `keys`.
fencing_token owned_token(const key_owner& state, const key_range& keys) {
    fencing_token result;
    for (const owned_range& one : state.map.ranges) {
        if (one.owner == state.self && overlap(one.keys, keys)) {
            result = std::max(result, one.fence);
        }
    }
    return result;
}

/// Forgets grants that have expired and rejections of tokens that aren't in use
/// any more.
void forget_outdated(key_owner& state, instant now) {
    std::erase_if(state.calls.rejected, [&](const rejected_token& one) {
        return owned_token(state, one.keys) > one.fence;
    });
    std::erase_if(state.calls.grants, [&](const called_grant& one) {
        return now >= one.expires_at &&
               !is_being_granted(state.calls, one.keys);
    });
}

/// Ends the grants of keys that the instance has released, but for those in
/// doubt.
void end_grants(call_ledger& ledger, const key_range& keys, instant now) {
    for (called_grant left : take_grants(ledger.grants, keys)) {
        if (now < left.in_doubt_until) {
            left.usable_until = instant::min();
            left.expires_at = left.in_doubt_until;
            ledger.grants.push_back(left);
        }
    }
}

/// Notes that a release is certain: by time alone, or by the response to it
/// unless an earlier call may still take effect.
void settle_release(const key_owner& state, range_release& one, instant now) {
    const instant earlier = state.earlier_grants_expire_at;
    const instant held = std::max(
        earlier, latest(state.calls, one.keys, &called_grant::expires_at)
    );
    const instant in_doubt = std::max(
        earlier, latest(state.calls, one.keys, &called_grant::in_doubt_until)
    );
    one.is_released = now >= held || (one.is_acknowledged && now >= in_doubt);
}

} // namespace

std::optional<grant_call> next_grant_call(key_owner& state, instant now) {
    call_ledger& ledger = state.calls;
    forget_outdated(state, now);
    const duration grant_duration = grant_duration_at(state, now);
    if (!state.instance || !state.rows_known || now < ledger.retry_at ||
        grant_duration < state.policy.min_grant_duration) {
        return std::nullopt;
    }
    std::optional<owned_range> chosen;
    instant chosen_usable_until = instant::max();
    for (owned_range& one : kept_ranges(state)) {
        if (one.instance != *state.instance ||
            is_being_granted(ledger, one.keys) ||
            is_token_outdated(ledger, one.keys, one.fence)) {
            continue;
        }
        const called_grant* const made =
            find_grant(ledger, one.keys, one.fence);
        const instant usable_until =
            made == nullptr ? instant::min() : made->usable_until;
        const bool is_due = made == nullptr || now >= made->renew_at;
        if (is_due && usable_until < chosen_usable_until) {
            chosen = std::move(one);
            chosen_usable_until = usable_until;
        }
    }
    if (!chosen) {
        return std::nullopt;
    }
    ledger.instance = state.instance;
    state.granted_instance = state.instance;
    ledger.last_id = next(ledger.last_id);
    const grant_call call{
        ledger.last_id,
        chosen->keys,
        chosen->fence,
        chosen->handover,
        grant_duration};
    ledger.pending_grants[call.id] = {call, now};
    called_grant& entry = grant_entry(ledger, call.keys, call.fence);
    const instant latest_end =
        now + state.policy.call_timeout + longest_hold(state, grant_duration);
    entry.expires_at = std::max(entry.expires_at, latest_end);
    state.grants_expire_at = std::max(state.grants_expire_at, latest_end);
    return call;
}

std::vector<release_call> due_release_calls(key_owner& state, instant now) {
    std::vector<release_call> result;
    for (range_release& one : state.releases) {
        if (one.is_released) {
            continue;
        }
        settle_release(state, one, now);
        const bool is_due =
            !one.is_released && !one.responded_at && state.instance &&
            one.pending_call == instance_call_id{} && now >= one.next_call_at &&
            !is_being_granted(state.calls, one.keys);
        if (!is_due) {
            continue;
        }
        state.calls.last_id = next(state.calls.last_id);
        one.pending_call = state.calls.last_id;
        one.omitted_at = one.omitted_at.value_or(now);
        result.push_back(
            {one.pending_call, one.keys, owned_token(state, one.keys)}
        );
    }
    return result;
}

void handle_grant_result(
    key_owner& state,
    instance_call_id id,
    const call_result& result,
    instant now
) {
    call_ledger& ledger = state.calls;
    const auto found = ledger.pending_grants.find(id);
    if (found == ledger.pending_grants.end()) {
        return;
    }
    const call_ledger::pending_grant done = std::move(found->second);
    ledger.pending_grants.erase(found);
    called_grant& entry = grant_entry(ledger, done.call.keys, done.call.fence);
    const instant end = now + longest_hold(state, done.call.grant_duration);
    switch (result.outcome) {
    case call_outcome::accepted:
        entry.usable_until = done.sent + done.call.grant_duration;
        entry.expires_at = std::max(entry.expires_at, end);
        entry.renew_at =
            done.sent + scaled(done.call.grant_duration, renewal_fraction);
        return;
    case call_outcome::no_response:
        entry.expires_at = std::max(entry.expires_at, end);
        entry.in_doubt_until = std::max(entry.in_doubt_until, end);
        break;
    case call_outcome::outdated_token:
        entry.usable_until = instant::min();
        ledger.rejected.push_back({done.call.keys, done.call.fence});
        state.needs_read = true;
        break;
    case call_outcome::rejected:
    case call_outcome::not_sent:
        break;
    }
    state.grants_expire_at = std::max(state.grants_expire_at, entry.expires_at);
    ledger.retry_at = now + state.policy.call_retry_delay;
}

void handle_release_result(
    key_owner& state,
    instance_call_id id,
    const call_result& result,
    instant now
) {
    for (range_release& one : state.releases) {
        if (one.pending_call != id) {
            continue;
        }
        one.pending_call = {};
        if (result.outcome != call_outcome::accepted) {
            one.next_call_at = now + state.policy.call_retry_delay;
            continue;
        }
        one.responded_at = now;
        one.handover = result.handover;
    }
}

void confirm_release_responses(key_owner& state, instant now) {
    for (range_release& one : state.releases) {
        if (one.is_acknowledged || !one.responded_at ||
            now < *one.responded_at + state.policy.answer_timeout) {
            continue;
        }
        one.is_acknowledged = true;
        end_grants(state.calls, one.keys, now);
        settle_release(state, one, now);
    }
}

void forget_release_responses(key_owner& state) {
    for (range_release& one : state.releases) {
        if (one.responded_at && !one.is_acknowledged) {
            one.responded_at.reset();
            one.handover.clear();
        }
    }
}

} // namespace apricotstile::keys
