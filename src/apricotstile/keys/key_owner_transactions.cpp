// Transactions on the lease and map rows, and the handling of their results.

#include <apricotstile/keys/key_owner.hpp>

#include <apricotstile/core/codec.hpp>

#include <algorithm>

namespace apricotstile::keys {

namespace {

/// The value of a lease row.
struct lease_record {
    /// Zero in a lease that another daemon has revoked.
    incarnation run;
    std::uint64_t renewals{0};
    guardian_list guardians;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(this->run, this->renewals, this->guardians);
    }
};

/// Transfers ranges to the current run of this host's instance from earlier
/// ones, and under a new token where it has seen a higher one.
std::vector<transfer> transfers_to_current_instance(const key_owner& state) {
    std::vector<transfer> result;
    if (!state.instance) {
        return result;
    }
    for (const owned_range& one : kept_ranges(state)) {
        if (one.instance != *state.instance ||
            is_token_outdated(state.calls, one.keys, one.fence)) {
            result.push_back({one.keys, state.self, *state.instance, {}});
        }
    }
    return result;
}

/// Zero if the row isn't there.
platform::row_version known_lease_version(const key_owner& state) {
    return state.has_lease_row ? state.lease_version : platform::row_version{};
}

/// Whether the lease row may be written: if this run didn't write the current
/// one, the map must have been read after it.
bool may_write_lease(const key_owner& state) {
    return state.owns_row || state.uses_earlier_lease ||
           state.map_read_after == known_lease_version(state);
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
    std::vector<transfer> result = transfers_to_current_instance(state);
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

/// Handles this daemon's own lease row.
void apply_own_row(key_owner& state, const platform::row& row) {
    // A read may return an older row than a transaction result that was
    // handled before it.
    if (row.version <= state.lease_version) {
        return;
    }
    const auto record = decode<lease_record>(row.value);
    state.lease_version = row.version;
    state.has_lease_row = true;
    state.uses_earlier_lease = false;
    // Transactions on older versions can't be committed any more.
    state.in_doubt_guardians.clear();
    // The row was written by another run, revoked by another daemon, or written
    // by a transaction of this run whose answer was lost.
    state.owns_row = record.run == state.run;
    state.guardians = record.guardians;
    state.next_renewal = instant::min();
    state.needs_read = state.needs_read || !may_write_lease(state);
}

/// Removes releases of ranges that this daemon no longer owns.
void remove_finished_releases(key_owner& state) {
    const auto is_finished = [&](const range_release& one) {
        return std::none_of(
            state.map.ranges.begin(),
            state.map.ranges.end(),
            [&](const owned_range& other) {
                return other.owner == state.self &&
                       overlap(other.keys, one.keys);
            }
        );
    };
    state.releases.erase(
        std::remove_if(
            state.releases.begin(), state.releases.end(), is_finished
        ),
        state.releases.end()
    );
}

void replace_map(key_owner& state, key_map map, platform::row_version version) {
    versioned_map known{version, std::move(map), std::move(state.buffered)};
    apply_buffered_changes(known);
    state.map = std::move(known.map);
    state.map_version = known.version;
    state.buffered = std::move(known.buffered);
    raise_last_fence(state.map, state.era);
    if (state.uses_earlier_lease) {
        for (const owned_range& one : state.claims) {
            add_unowned_parts(state.map, one);
        }
    }
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

/// Handles a row of the service, which may already be outdated.
void apply_row(key_owner& state, const platform::row& row, instant now) {
    const std::string lease_prefix = "leases/" + state.service.value + "/";
    if (row.key == map_row_key(state.service)) {
        apply_map_row(state, row);
    } else if (row.key == lease_row_key(state.service, state.self)) {
        apply_own_row(state, row);
    } else if (row.key.value.starts_with(lease_prefix)) {
        const host_id host{
            std::stoull(row.key.value.substr(lease_prefix.size()))};
        const auto known = state.watched_leases.find(host);
        if (known == state.watched_leases.end() ||
            known->second.version < row.version) {
            // The holder may have renewed the lease at any time until the rows
            // arrived, so the wait for its expiry starts now.
            state.watched_leases[host] = {
                row.version,
                now,
                decode<lease_record>(row.value).guardians,
                {}};
        }
    }
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

std::optional<key_map_change> handle_commit_result(
    key_owner& state, const platform::commit_result& result, instant now
) {
    if (!state.in_flight) {
        return std::nullopt;
    }
    const key_owner::pending_transaction done = std::move(*state.in_flight);
    state.in_flight.reset();
    if (result.status == platform::commit_status::unavailable) {
        return std::nullopt;
    }
    if (result.status == platform::commit_status::conflict &&
        !result.current.empty()) {
        // The answer contains the rows that failed the conditions.
        for (const platform::row& row : result.current) {
            apply_row(state, row, now);
        }
        return std::nullopt;
    }
    if (result.status != platform::commit_status::committed) {
        // It may still be committed later, with its guardian list.
        if (done.renews_lease &&
            result.status == platform::commit_status::unknown) {
            state.in_doubt_guardians.push_back(done.guardians);
        }
        state.needs_read = true;
        return std::nullopt;
    }
    if (done.renews_lease) {
        state.lease_version = result.versions.front();
        state.has_lease_row = true;
        state.uses_earlier_lease = false;
        state.owns_row = true;
        state.guardians = done.guardians;
        state.in_doubt_guardians.clear();
        state.table_expiry =
            done.sent + state.policy.lease.table_lease_duration;
        state.next_renewal =
            done.sent + state.policy.lease.table_renewal_interval;
    }
    std::optional<key_map_change> change;
    if (done.new_map && result.versions.back() > state.map_version) {
        // Claims keep their tokens, so they aren't transfers.
        if (!done.makes_claims) {
            change = key_map_change{
                state.service,
                state.map_version,
                result.versions.back(),
                done.transfers};
        }
        replace_map(state, *done.new_map, result.versions.back());
    }
    remove_finished_releases(state);
    return change;
}

change_result apply_map_change(key_owner& state, const key_map_change& change) {
    versioned_map known{
        state.map_version, std::move(state.map), std::move(state.buffered)};
    const change_result result = apply_change(known, change);
    state.map = std::move(known.map);
    state.map_version = known.version;
    state.buffered = std::move(known.buffered);
    remove_finished_releases(state);
    return result;
}

bool apply_map_row(key_owner& state, const platform::row& row) {
    if (row.version <= state.map_version) {
        return false;
    }
    replace_map(state, decode_map(row.value), row.version);
    remove_finished_releases(state);
    return true;
}

void apply_lease_rows(
    key_owner& state, const std::vector<platform::row>& rows, instant now
) {
    if (now - state.leases_read_at > state.policy.max_read_gap) {
        state.no_expiry_before = now + state.policy.renewal_grace;
    }
    state.leases_read_at = now;
    for (const platform::row& row : rows) {
        apply_row(state, row, now);
    }
    for (const owned_range& one : state.map.ranges) {
        watch_lease(state, one.owner, now);
    }
}

void apply_rows(
    key_owner& state, const std::vector<platform::row>& rows, instant now
) {
    apply_lease_rows(state, rows, now);
    const platform::row_key own_row = lease_row_key(state.service, state.self);
    state.map_read_after = {};
    for (const platform::row& row : rows) {
        if (row.key == own_row) {
            state.map_read_after = row.version;
        }
    }
    state.rows_known = true;
    // The lease row may have changed since it was read.
    state.needs_read = !may_write_lease(state);
}

} // namespace apricotstile::keys
