// State and rows of a keeper.

#include <apricotstile/keys/keeper.hpp>

#include <apricotstile/core/codec.hpp>

#include <algorithm>

namespace apricotstile::keys {

keeper make_keeper(
    const keeper_policy& policy,
    host_id self,
    incarnation run,
    const service_id& service
) {
    keeper state;
    state.policy = policy;
    state.self = self;
    state.run = run;
    state.service = service;
    return state;
}

bool has_lease(const keeper& state, instant now) {
    return now < state.lease_end;
}

bool may_dispatch(const keeper& state, key_number key, instant now) {
    if (now >= state.held_until) {
        return false;
    }
    return std::any_of(
        state.granted.begin(),
        state.granted.end(),
        [&](const key_range& keys) {
            return contains(keys, key);
        }
    );
}

std::vector<owned_range> kept_ranges(const keeper& state) {
    std::vector<owned_range> kept;
    for (const owned_range& one : state.map.ranges) {
        if (one.owner == state.self) {
            kept.push_back(one);
        }
    }
    for (const release& leaving : state.releases) {
        std::vector<owned_range> rest;
        for (const owned_range& one : kept) {
            if (!overlap(one.keys, leaving.keys)) {
                rest.push_back(one);
                continue;
            }
            if (one.keys.first < leaving.keys.first) {
                owned_range left = one;
                left.keys.last = leaving.keys.first - 1;
                left.handover.clear();
                rest.push_back(std::move(left));
            }
            if (one.keys.last > leaving.keys.last) {
                owned_range right = one;
                right.keys.first = leaving.keys.last + 1;
                right.handover.clear();
                rest.push_back(std::move(right));
            }
        }
        kept = std::move(rest);
    }
    return kept;
}

platform::row_key map_row(const service_id& service) {
    return {"keys/" + service.value + "/map"};
}

platform::row_key lease_row(const service_id& service, host_id host) {
    return {"leases/" + service.value + "/" + std::to_string(host.value)};
}

key_map decode_map(const std::string& value) {
    return decode<key_map>(value);
}

} // namespace apricotstile::keys
