// The change to a new era, after the table was restored from an older copy.

#include <apricotstile/keys/key_owner.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::keys {

namespace {

/// The ranges that this daemon certainly owns: those that it may have
/// transferred in the earlier era may have another holder.
std::vector<owned_range> certainly_owned(const key_owner& state) {
    std::vector<owned_range> result;
    for (const owned_range& one : state.map.ranges) {
        const bool may_be_transferred = std::any_of(
            state.releases.begin(),
            state.releases.end(),
            [&](const range_release& outgoing) {
                return outgoing.is_sent && overlap(outgoing.keys, one.keys);
            }
        );
        if (one.owner == state.self && !may_be_transferred) {
            result.push_back(one);
        }
    }
    return result;
}

} // namespace

void begin_era(
    key_owner& state, platform::table_era era, bool is_first_start, instant now
) {
    const lease_policy& lease = state.policy.lease;
    state.claims.clear();
    state.uses_earlier_lease = has_lease(state, now);
    if (state.uses_earlier_lease) {
        state.claims = certainly_owned(state);
    } else {
        state.owns_row = false;
    }
    state.era = era;
    state.has_lease_row = false;
    state.next_renewal = instant::min();
    for (const owned_range& one : state.earlier_map.ranges) {
        add_unowned_parts(state.map, one);
    }
    state.earlier_map = std::exchange(state.map, {});
    raise_last_fence(state.map, era);
    for (const owned_range& one : state.claims) {
        add_unowned_parts(state.map, one);
    }
    state.map_version = {};
    state.buffered.clear();
    state.releases.erase(
        std::remove_if(
            state.releases.begin(),
            state.releases.end(),
            [](const range_release& one) {
                return one.is_sent;
            }
        ),
        state.releases.end()
    );
    state.watched_leases.clear();
    state.needs_read = true;
    if (!is_first_start) {
        state.no_takeover_of_unowned_before =
            now + scaled(lease.table_lease_duration, 1.0 + lease.clock_drift) +
            lease.safety_margin;
    }
}

} // namespace apricotstile::keys
