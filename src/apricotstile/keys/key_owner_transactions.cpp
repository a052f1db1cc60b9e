// Transactions on the lease and map rows.

#include <apricotstile/keys/key_owner.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/internal/owner_rows.hpp>

#include <algorithm>

namespace apricotstile::keys {

namespace {

using internal::known_lease_version;
using internal::lease_record;
using internal::may_write_lease;

/// Transfers ranges to the current run of this host's instance from earlier
/// ones once those can't hold them any more, and under a new token where it has
/// seen a higher one.
std::vector<transfer>
transfers_to_current_instance(const key_owner& state, instant now) {
    std::vector<transfer> result;
    if (!state.instance) {
        return result;
    }
    for (const owned_range& one : kept_ranges(state)) {
        if (may_be_held_by_earlier_instance(state, one.keys, now)) {
            continue;
        }
        if (one.instance != *state.instance ||
            is_token_outdated(state.calls, one.keys, one.fence)) {
            result.push_back({one.keys, state.self, *state.instance, {}});
        }
    }
    return result;
}

void add_renewal(
    key_owner& state,
    const guardian_list& guardians,
    platform::transaction& work,
    key_owner::pending_transaction& pending
) {
    pending.renews_lease = true;
    pending.makes_claims = state.uses_earlier_lease;
    pending.guardians = guardians;
    work.conditions.push_back(
        {lease_row_key(state.service, state.self), known_lease_version(state)}
    );
    work.mutations.push_back(
        {lease_row_key(state.service, state.self),
         encode(lease_record{state.run, ++state.renewals, guardians})}
    );
}

/// Adds transfers of those parts of a release that this daemon still owns. The
/// handover describes the whole range, so it is dropped for a part of it.
void add_release_transfers(
    const key_owner& state,
    const range_release& outgoing,
    const directory::instance_run& instance,
    std::vector<transfer>& transfers
) {
    for (const owned_range& one : state.map.ranges) {
        if (one.owner != state.self || !overlap(one.keys, outgoing.keys)) {
            continue;
        }
        const key_range common{
            std::max(one.keys.first, outgoing.keys.first),
            std::min(one.keys.last, outgoing.keys.last)};
        const bool is_whole = common == outgoing.keys;
        transfers.push_back(
            {common,
             outgoing.target,
             instance,
             is_whole ? outgoing.handover : std::string{}}
        );
    }
}

bool is_release_due(
    const key_owner& state,
    const range_release& one,
    const current_instances& instances,
    instant now
) {
    return instances.contains(one.target) &&
           (one.is_released || now >= state.grants_expire_at);
}

/// Whether releases are to be transferred now: all of them are due, or some
/// have waited for the others.
bool are_releases_ready(
    key_owner& state, const current_instances& instances, instant now
) {
    const auto due = std::count_if(
        state.releases.begin(),
        state.releases.end(),
        [&](const range_release& one) {
            return is_release_due(state, one, instances, now);
        }
    );
    if (due == 0) {
        state.release_waits_since.reset();
        return false;
    }
    state.release_waits_since = state.release_waits_since.value_or(now);
    return static_cast<std::size_t>(due) == state.releases.size() ||
           now - *state.release_waits_since >= state.policy.release_batch_delay;
}

/// The transfers that are due now; a transaction that is made anyway includes
/// releases that wait for others.
std::vector<transfer> due_transfers(
    key_owner& state,
    const ownership_changes& wanted,
    const current_instances& instances,
    const key_owner::pending_transaction& pending,
    instant now
) {
    std::vector<transfer> result = transfers_to_current_instance(state, now);
    const bool writes_lease = pending.renews_lease;
    for (range_release& one : state.releases) {
        if (writes_lease && is_release_due(state, one, instances, now)) {
            add_release_transfers(state, one, instances.at(one.target), result);
            one.is_sent = true;
            state.release_waits_since.reset();
        }
    }
    result.insert(
        result.end(), wanted.transfers.begin(), wanted.transfers.end()
    );
    for (const relayed_release& one : wanted.relayed) {
        result.insert(result.end(), one.transfers.begin(), one.transfers.end());
    }
    return result;
}

void add_map_change(
    const key_owner& state,
    const std::vector<transfer>& transfers,
    const ownership_changes& wanted,
    platform::transaction& work,
    key_owner::pending_transaction& pending
) {
    const platform::row_key row = map_row_key(state.service);
    work.conditions.push_back({row, state.map_version});
    for (const host_id host : wanted.revoked_owners) {
        const auto watched = state.watched_leases.find(host);
        const platform::row_version version =
            watched == state.watched_leases.end() ? platform::row_version{}
                                                  : watched->second.version;
        work.conditions.push_back({lease_row_key(state.service, host), version}
        );
        work.mutations.push_back(
            {lease_row_key(state.service, host), encode(lease_record{})}
        );
    }
    for (const relayed_release& one : wanted.relayed) {
        const platform::row_key lease = lease_row_key(state.service, one.owner);
        work.conditions.push_back({lease, one.lease_version});
        work.mutations.push_back({lease, one.lease_value});
    }
    key_map changed = state.map;
    apply_transfers(changed, transfers);
    work.mutations.push_back({row, encode(changed)});
    pending.new_map = std::move(changed);
    pending.transfers = transfers;
}

/// Whether this daemon has use for a lease: it owns keys, or has run for long
/// enough to know the daemons that can be its guardians.
bool needs_lease(const key_owner& state, instant now) {
    return now >= state.earlier_grants_expire_at ||
           owned_key_count(state.map, state.self) > 0;
}

/// Adds a write of the lease row if it is due or a release is. Returns false if
/// the map must be read before.
bool add_lease_write(
    key_owner& state,
    const current_instances& instances,
    instant now,
    platform::transaction& work,
    key_owner::pending_transaction& pending
) {
    const bool is_due = state.owns_row
                            ? now >= state.next_renewal ||
                                  state.wanted_guardians != state.guardians
                            : needs_lease(state, now);
    const bool renews =
        state.instance && is_due && wanted_guardians_ready(state, now);
    if (!are_releases_ready(state, instances, now) && !renews) {
        return true;
    }
    if (!may_write_lease(state)) {
        return false;
    }
    add_renewal(
        state, renews ? state.wanted_guardians : state.guardians, work, pending
    );
    return true;
}

/// Gives up what this daemon owned in the earlier era: another daemon may take
/// it over soon.
void drop_earlier_lease(key_owner& state) {
    state.uses_earlier_lease = false;
    state.owns_row = false;
    state.claims.clear();
    state.map = {};
    raise_last_fence(state.map, state.era);
    state.map_version = {};
    state.needs_read = true;
}

} // namespace

std::optional<platform::transaction> start_next_transaction(
    key_owner& state,
    const ownership_changes& wanted,
    const current_instances& instances,
    instant now
) {
    if (state.uses_earlier_lease && !has_lease(state, now)) {
        drop_earlier_lease(state);
    }
    if (state.in_flight || state.needs_read || !state.rows_known) {
        return std::nullopt;
    }
    platform::transaction work;
    key_owner::pending_transaction pending;
    pending.sent = now;
    if (!add_lease_write(state, instances, now, work, pending)) {
        state.needs_read = true;
        return std::nullopt;
    }
    const std::vector<transfer> transfers =
        due_transfers(state, wanted, instances, pending, now);
    // Claims are written to the map.
    if (!transfers.empty() || pending.makes_claims) {
        add_map_change(state, transfers, wanted, work, pending);
    }
    if (work.mutations.empty()) {
        return std::nullopt;
    }
    state.in_flight = std::move(pending);
    return work;
}

} // namespace apricotstile::keys
