// Grants and releases of keys at an instance of the simulation.

#include <tests/keys/simulated_instance.hpp>

#include <algorithm>

namespace apricotstile::tests {

namespace {

/// Removes `keys` from what the instance holds under `fence` or lower ones.
void drop_keys(
    simulated_instance& instance,
    const keys::key_range& keys,
    fencing_token fence
) {
    std::vector<simulated_hold> rest;
    for (const simulated_hold& one : instance.holds) {
        if (!keys::overlap(one.keys, keys) || one.fence > fence) {
            rest.push_back(one);
            continue;
        }
        if (one.keys.first < keys.first) {
            simulated_hold left = one;
            left.keys.last = keys.first - 1;
            rest.push_back(left);
        }
        if (one.keys.last > keys.last) {
            simulated_hold right = one;
            right.keys.first = keys.last + 1;
            rest.push_back(right);
        }
    }
    instance.holds = std::move(rest);
}

} // namespace

void expire_grants(simulated_instance& instance, instant now) {
    std::erase_if(instance.holds, [&](const simulated_hold& one) {
        return now >= one.expires_at;
    });
}

void take_grants(
    simulated_instance& instance,
    const keys::heartbeat_answer& answer,
    instant sent
) {
    const std::vector<simulated_hold> before = std::move(instance.holds);
    instance.holds.clear();
    const instant end =
        sent + scaled(answer.grant_duration, 1.0 / instance.rate);
    for (const keys::key_grant& one : answer.keys) {
        instance.holds.push_back({one.keys, one.fence, end});
    }
    for (const simulated_hold& old : before) {
        const bool kept = std::any_of(
            instance.holds.begin(),
            instance.holds.end(),
            [&](const simulated_hold& held) {
                return keys::overlap(held.keys, old.keys);
            }
        );
        if (!kept) {
            instance.released.push_back({old.keys, "handover"});
        }
    }
}

bool take_grant(
    simulated_instance& instance, const keys::grant_call& call, instant arrived
) {
    const bool is_outdated = std::any_of(
        instance.seen_tokens.begin(),
        instance.seen_tokens.end(),
        [&](const keys::held_range& one) {
            return keys::overlap(one.keys, call.keys) && one.fence > call.fence;
        }
    );
    if (is_outdated) {
        return false;
    }
    instance.seen_tokens.push_back({call.keys, call.fence});
    drop_keys(instance, call.keys, call.fence);
    instance.holds.push_back(
        {call.keys,
         call.fence,
         arrived + scaled(call.grant_duration, 1.0 / instance.rate)}
    );
    return true;
}

void release_keys(
    simulated_instance& instance, const keys::release_call& call
) {
    drop_keys(instance, call.keys, call.fence);
}

std::vector<keys::held_range> held_ranges(const simulated_instance& instance) {
    std::vector<keys::held_range> result;
    for (const simulated_hold& one : instance.holds) {
        result.push_back({one.keys, one.fence});
    }
    return result;
}

} // namespace apricotstile::tests
