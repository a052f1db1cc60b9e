// Results of transactions, and reads of the lease and map rows.

#include <apricotstile/keys/key_owner.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/internal/owner_rows.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace apricotstile::keys {

namespace {

using internal::lease_record;
using internal::may_write_lease;

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

/// The number that `text` consists of. Throws `decode_error`.
host_id parse_host(std::string_view text) {
    host_id host;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), host.value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
        throw decode_error{"the key of a lease row names no host"};
    }
    return host;
}

void apply_lease_of_other(
    key_owner& state,
    const platform::row& row,
    std::string_view holder,
    instant now
) {
    const host_id host = parse_host(holder);
    const auto known = state.watched_leases.find(host);
    if (known == state.watched_leases.end() ||
        known->second.version < row.version) {
        const auto record = decode<lease_record>(row.value);
        // The holder may have renewed the lease at any time until the rows
        // arrived, so the wait for its expiry starts now.
        state.watched_leases[host] = {row.version, now, record.guardians, {}};
    }
}

/// Handles a row of the service, which may already be outdated. Throws
/// `decode_error`.
void apply_row(key_owner& state, const platform::row& row, instant now) {
    const std::string lease_prefix = "leases/" + state.service.value + "/";
    if (row.key == map_row_key(state.service)) {
        apply_map_row(state, row);
    } else if (row.key == lease_row_key(state.service, state.self)) {
        apply_own_row(state, row);
    } else if (row.key.value.starts_with(lease_prefix)) {
        apply_lease_of_other(
            state, row, row.key.value.substr(lease_prefix.size()), now
        );
    }
}

/// A row that can't be read, one of another writer, is left out; the others are
/// applied all the same.
void apply_readable_row(
    key_owner& state, const platform::row& row, instant now
) {
    try {
        apply_row(state, row, now);
    } catch (const decode_error&) {
        state.unreadable_rows.push_back(row.key);
    }
}

/// Whether the row is one without which this daemon doesn't know what it owns.
bool is_essential(const key_owner& state, const platform::row_key& key) {
    return key == map_row_key(state.service) ||
           key == lease_row_key(state.service, state.self);
}

} // namespace

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
            apply_readable_row(state, row, now);
        }
        state.needs_read = state.needs_read || !state.unreadable_rows.empty();
        return std::nullopt;
    }
    const bool lacks_versions =
        result.status == platform::commit_status::committed &&
        result.versions.empty();
    if (result.status != platform::commit_status::committed || lacks_versions) {
        // It may still be committed later, with its guardian list.
        if (done.renews_lease &&
            (lacks_versions || result.status == platform::commit_status::unknown
            )) {
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
        if (is_essential(state, row.key)) {
            apply_row(state, row, now);
        } else {
            apply_readable_row(state, row, now);
        }
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
