// Lease validity, dispatch decisions and row keys of a daemon's key ownership.

#include <apricotstile/keys/key_owner.hpp>

#include <apricotstile/core/codec.hpp>

#include <algorithm>

namespace apricotstile::keys {

key_owner make_key_owner(
    const key_owner_policy& policy,
    host_id self,
    incarnation run,
    const service_id& service
) {
    key_owner state;
    state.policy = policy;
    state.self = self;
    state.run = run;
    state.service = service;
    return state;
}

namespace {

/// Until when a quorum of `guardians` promises the lease; the maximum for an
/// empty list, the minimum if too few have promised it.
instant promised_until(const key_owner& state, const guardian_list& guardians) {
    if (guardians.empty()) {
        return instant::max();
    }
    std::vector<instant> request_times;
    for (const guardian_id& one : guardians) {
        const auto found = state.promise_request_times.find(one);
        request_times.push_back(
            found == state.promise_request_times.end() ? instant::min()
                                                       : found->second
        );
    }
    std::sort(request_times.rbegin(), request_times.rend());
    const instant last = request_times[promise_quorum(guardians.size()) - 1];
    return last == instant::min() ? last
                                  : last + state.policy.lease.promise_duration;
}

} // namespace

instant lease_end(const key_owner& state) {
    if (!state.owns_row) {
        return instant::min();
    }
    instant end =
        std::min(state.table_expiry, promised_until(state, state.guardians));
    if (state.wanted_guardians != state.guardians) {
        end = std::min(end, promised_until(state, state.wanted_guardians));
    }
    for (const guardian_list& one : state.in_doubt_guardians) {
        end = std::min(end, promised_until(state, one));
    }
    if (state.in_flight && state.in_flight->renews_lease) {
        end = std::min(end, promised_until(state, state.in_flight->guardians));
    }
    return end;
}

bool has_lease(const key_owner& state, instant now) {
    return now < lease_end(state);
}

bool wanted_guardians_ready(const key_owner& state, instant now) {
    const instant end = promised_until(state, state.wanted_guardians);
    // Without an outstanding grant no instance can hold a key, so the list may
    // change without promises.
    return now >= state.grants_expire_at ||
           (end > now && end >= state.grants_expire_at);
}

std::set<guardian_id> all_guardians(const key_owner& state) {
    std::set<guardian_id> result{
        state.guardians.begin(), state.guardians.end()};
    result.insert(state.wanted_guardians.begin(), state.wanted_guardians.end());
    for (const guardian_list& one : state.in_doubt_guardians) {
        result.insert(one.begin(), one.end());
    }
    return result;
}

void handle_promise(
    key_owner& state, const guardian_id& guardian, instant requested_at
) {
    instant& last =
        state.promise_request_times.try_emplace(guardian, requested_at)
            .first->second;
    last = std::max(last, requested_at);
}

void handle_promise_refusal(key_owner& state) {
    state.next_renewal = instant::min();
}

const watched_lease&
watch_lease(key_owner& state, host_id holder, instant now) {
    return state.watched_leases
        .try_emplace(holder, watched_lease{{}, now, {}, {}})
        .first->second;
}

void handle_consent(
    key_owner& state,
    host_id guardian,
    host_id holder,
    platform::row_version version
) {
    const auto found = state.watched_leases.find(holder);
    if (found != state.watched_leases.end() &&
        found->second.version == version) {
        found->second.consented.insert(guardian);
    }
}

namespace {

/// Whether the instance holds `key` by a call, and isn't to release it.
bool holds_by_call(const key_owner& state, key_number key, instant now) {
    const bool is_granted = std::any_of(
        state.calls.grants.begin(),
        state.calls.grants.end(),
        [&](const called_grant& one) {
            return contains(one.keys, key) && now < one.usable_until;
        }
    );
    return is_granted && std::none_of(
                             state.releases.begin(),
                             state.releases.end(),
                             [&](const range_release& one) {
                                 return one.omitted_at &&
                                        contains(one.keys, key);
                             }
                         );
}

} // namespace

bool may_be_held_by_earlier_instance(
    const key_owner& state, const key_range& keys, instant now
) {
    return now < state.earlier_grants_expire_at &&
           std::any_of(
               state.map.ranges.begin(),
               state.map.ranges.end(),
               [&](const owned_range& one) {
                   return one.owner == state.self && overlap(one.keys, keys) &&
                          one.instance != state.instance;
               }
           );
}

bool may_dispatch(const key_owner& state, key_number key, instant now) {
    if (state.policy.method == routing::grant_method::call) {
        return holds_by_call(state, key, now);
    }
    if (now >= state.grants_expire_at) {
        return false;
    }
    return std::any_of(
        state.granted_ranges.begin(),
        state.granted_ranges.end(),
        [&](const key_range& keys) {
            return contains(keys, key);
        }
    );
}

std::vector<owned_range> kept_ranges(const key_owner& state) {
    std::vector<owned_range> kept;
    for (const owned_range& one : state.map.ranges) {
        if (one.owner == state.self) {
            kept.push_back(one);
        }
    }
    for (const range_release& outgoing : state.releases) {
        std::vector<owned_range> rest;
        for (const owned_range& one : kept) {
            if (!overlap(one.keys, outgoing.keys)) {
                rest.push_back(one);
                continue;
            }
            if (one.keys.first < outgoing.keys.first) {
                owned_range left = one;
                left.keys.last = outgoing.keys.first - 1;
                left.handover.clear();
                rest.push_back(std::move(left));
            }
            if (one.keys.last > outgoing.keys.last) {
                owned_range right = one;
                right.keys.first = outgoing.keys.last + 1;
                right.handover.clear();
                rest.push_back(std::move(right));
            }
        }
        kept = std::move(rest);
    }
    return kept;
}

platform::row_key map_row_key(const service_id& service) {
    return {"keys/" + service.value + "/map"};
}

platform::row_key lease_row_key(const service_id& service, host_id host) {
    return {"leases/" + service.value + "/" + std::to_string(host.value)};
}

key_map decode_map(const std::string& value) {
    return decode<key_map>(value);
}

} // namespace apricotstile::keys
