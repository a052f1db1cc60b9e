// Key ownership of one daemon: which key ranges it may grant to the instance of
// its service on the same host. A daemon grants only ranges that the key map
// assigns to it, only while it has a valid lease, and never beyond the end of
// that lease.
//
// The lease is a row of the platform's table that lists its guardians, which
// are other daemons. The lease is valid while a quorum of the guardians promise
// it, so it survives outages of the table, but only for a limited time after
// its last renewal in the table. Another daemon takes the keys over by a
// transaction that is conditional on the version of the lease row. It may do so
// once a quorum of the guardians has consented to the revocation, or once it
// has seen the row unchanged for longer than a lease lasts without renewal.
//
// While a change of the guardian list is in flight, the lease needs a quorum of
// promises from both the old and the new list. Every transaction that takes
// keys away from an owner also writes its lease row: the owner's own release
// renews it, a takeover revokes it. A lease row that another run of the daemon
// wrote, or that another daemon revoked, is acquired only at a version after
// which the map was read. So no grant is based on an outdated map, a
// transaction that an earlier run sent can't be committed afterwards, and
// owners that acquire their leases at the same time don't contend for the map.
//
// When the table has been restored from an older copy, a new era begins: the
// rows of the earlier one count no more, as changes to them may be lost. What
// the holders know is the truth then. A daemon whose lease is valid goes on
// granting its keys under it, and claims them in the transaction that writes
// its lease row in the new era. Keys that nobody has claimed get a new owner
// once every lease of an earlier era has expired.

#ifndef APRICOTSTILE_KEYS_KEY_OWNER_HPP
#define APRICOTSTILE_KEYS_KEY_OWNER_HPP

#include <apricotstile/keys/call_ledger.hpp>
#include <apricotstile/keys/guardian_id.hpp>
#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/keys/key_map_change.hpp>
#include <apricotstile/keys/lease_policy.hpp>
#include <apricotstile/keys/relayed_release.hpp>
#include <apricotstile/platform/transaction.hpp>
#include <apricotstile/routing/grant_method.hpp>

#include <map>
#include <optional>
#include <set>

namespace apricotstile::keys {

struct key_owner_policy {
    lease_policy lease;
    routing::grant_method method{routing::grant_method::heartbeat};
    /// Maximum duration of a grant. An instance that stops sending heartbeats
    /// holds its keys until its last grant expires.
    duration max_grant_duration{std::chrono::seconds{4}};
    /// The instance discards the answer to a heartbeat after this time.
    duration answer_timeout{std::chrono::milliseconds{1100}};
    /// Shorter grants aren't sent, as they aren't worth the size of the answer.
    duration min_grant_duration{std::chrono::milliseconds{200}};
    /// A grant call without a response is aborted after this time.
    duration call_timeout{std::chrono::milliseconds{400}};
    /// Time between a failed call and the next one.
    duration call_retry_delay{std::chrono::milliseconds{100}};
    /// After a period in which the lease rows weren't read, their holders get
    /// this long to renew them before the leases count as expired.
    duration renewal_grace{std::chrono::milliseconds{2500}};
    /// Reads of the lease rows that are farther apart than this make such a
    /// period.
    duration max_read_gap{std::chrono::seconds{4}};
    /// How long ranges that are released wait for others that are being
    /// released, so that one transaction transfers them.
    duration release_batch_delay{std::chrono::milliseconds{100}};
    /// Maximum number of ranges in one heartbeat answer.
    std::size_t max_ranges_per_answer{90};
};

/// A key range that the instance has to release to another owner.
struct range_release {
    key_range keys;
    /// The next owner.
    host_id target;
    std::string handover;
    /// When a heartbeat answer first omitted the range, or when the first call
    /// to release it was sent.
    std::optional<instant> omitted_at;
    /// The release call in progress; zero if there is none.
    instance_call_id pending_call;
    /// No other release call is sent before.
    instant next_call_at{instant::min()};
    /// When a release call was responded to, by whichever instance had the
    /// address then.
    std::optional<instant> responded_at;
    /// Whether the known instance is certain to have given that response.
    bool is_acknowledged{false};
    /// Whether it is certain that no instance on this host holds the range any
    /// more.
    bool is_released{false};
    /// Whether a transaction that transfers it was sent.
    bool is_sent{false};
};

/// The lease row of another daemon, watched for expiry.
struct watched_lease {
    platform::row_version version;
    /// When this version was first read.
    instant unchanged_since;
    guardian_list guardians;
    /// Guardians that have consented to the revocation of this version.
    std::set<host_id> consented;
};

struct key_owner {
    key_owner_policy policy;
    host_id self;
    incarnation run;
    service_id service;

    /// The instance on this host; empty while none is known.
    std::optional<directory::instance_run> instance;
    /// The instance that this run of the daemon last granted keys to, or may
    /// have.
    std::optional<directory::instance_run> granted_instance;

    platform::table_era era{platform::first_era};
    /// Whether the lease of an earlier era is still in use, as the row of this
    /// era isn't written yet.
    bool uses_earlier_lease{false};
    /// Ranges owned under that lease, to be claimed in this era.
    std::vector<owned_range> claims;
    /// The last map of the earlier era, which tells where keys probably are.
    key_map earlier_map;
    /// Until then, leases of earlier eras may be valid, so keys without an
    /// owner may be held.
    instant no_takeover_of_unowned_before{instant::min()};

    platform::row_version lease_version;
    /// Whether this daemon's lease row has been seen in this era.
    bool has_lease_row{true};
    /// Whether this run of the daemon wrote the row at `lease_version`.
    bool owns_row{false};
    /// The version of the lease row after which the map was read.
    platform::row_version map_read_after;
    /// When the lease expires without another renewal in the table, whatever
    /// its guardians promise.
    instant table_expiry;
    /// When the next renewal in the table is due.
    instant next_renewal;
    /// Number of renewals that this run has started.
    std::uint64_t renewals{0};
    /// Guardians listed in the row.
    guardian_list guardians;
    /// Guardians to list in the row with the next renewal.
    guardian_list wanted_guardians;
    /// Guardian lists of transactions whose outcome is unknown: each may be or
    /// become the list in the row.
    std::vector<guardian_list> in_doubt_guardians;
    /// For each guardian, when the request for its newest promise was sent.
    std::map<guardian_id, instant> promise_request_times;

    /// Rows that were left out as they can't be read, for the log; emptied by
    /// whoever logs them.
    std::vector<platform::row_key> unreadable_rows;
    /// Whether the rows have been read at least once.
    bool rows_known{false};
    /// Whether the rows must be read again, as the outcome of a transaction is
    /// unknown or a map change is missing.
    bool needs_read{true};
    platform::row_version map_version;
    key_map map;
    /// Map changes that arrived before their predecessors.
    buffered_changes buffered;

    std::vector<range_release> releases;
    /// Since when a released range waits for others.
    std::optional<instant> release_waits_since;
    /// Ranges that the last heartbeat answer granted.
    std::vector<key_range> granted_ranges;
    /// When the last grant of this daemon has expired on any clock.
    instant grants_expire_at;
    /// When all grants to earlier instances, and all grants of earlier runs of
    /// this daemon, have expired on any clock.
    instant earlier_grants_expire_at;
    /// Grants made by calls; unused with grants by heartbeat.
    call_ledger calls;

    std::map<host_id, watched_lease> watched_leases;
    /// When the lease rows were last read.
    instant leases_read_at;
    /// No lease of another daemon counts as expired before.
    instant no_expiry_before;

    /// A transaction in flight; at most one at a time.
    struct pending_transaction {
        instant sent;
        bool renews_lease{false};
        /// Whether it claims ranges owned under a lease of an earlier era.
        bool makes_claims{false};
        guardian_list guardians;
        std::optional<key_map> new_map;
        std::vector<transfer> transfers;
    };

    std::optional<pending_transaction> in_flight;
};

[[nodiscard]] key_owner make_key_owner(
    const key_owner_policy& policy,
    host_id self,
    incarnation run,
    const service_id& service
);

/// When the lease expires without further promises and renewals; the minimum if
/// this run of the daemon hasn't acquired it.
[[nodiscard]] instant lease_end(const key_owner& state);

[[nodiscard]] bool has_lease(const key_owner& state, instant now);

/// Whether the wanted guardians may be written to the lease row: a quorum of
/// them promises the lease until the last outstanding grant has expired.
[[nodiscard]] bool wanted_guardians_ready(const key_owner& state, instant now);

/// All guardians whose promise the lease needs now or may need soon.
[[nodiscard]] std::set<guardian_id> all_guardians(const key_owner& state);

/// Records a promise of `guardian` in reply to a request that was sent at
/// `requested_at`.
void handle_promise(
    key_owner& state, const guardian_id& guardian, instant requested_at
);

/// A guardian refused a promise, as it has consented to the revocation of this
/// version of the lease. Makes a renewal in the table due at once, since it
/// writes a new version.
void handle_promise_refusal(key_owner& state);

/// The lease of `holder`, which is watched from now on.
const watched_lease& watch_lease(key_owner& state, host_id holder, instant now);

/// Records that `guardian` has consented to the revocation of the lease of
/// `holder` at `version`.
void handle_consent(
    key_owner& state,
    host_id guardian,
    host_id holder,
    platform::row_version version
);

/// Whether an instance before the current one may hold a part of `keys` that
/// this daemon owns. That the current one has announced itself doesn't prove
/// that the one before it has stopped.
[[nodiscard]] bool may_be_held_by_earlier_instance(
    const key_owner& state, const key_range& keys, instant now
);

/// Whether a request for `key` may be sent to the instance now.
[[nodiscard]] bool
may_dispatch(const key_owner& state, key_number key, instant now);

/// Handles a heartbeat of the instance on this host. The caller has dropped
/// outdated ones and those of other instances.
[[nodiscard]] heartbeat_answer
handle_heartbeat(key_owner& state, const heartbeat& beat, instant now);

/// Records that the instance is leaving and sends no more heartbeats. It may
/// hold keys until its last grant expires.
void handle_instance_stopped(key_owner& state);

/// Starts to move `keys` to `target`. The instance serves them until the
/// answer to its next heartbeat omits them.
void start_release(key_owner& state, const key_range& keys, host_id target);

/// Keeps the ranges whose release the instance hasn't been told of. Returns how
/// many there are.
std::size_t cancel_releases(key_owner& state);

/// The map's entries for the keys that this daemon owns and isn't releasing.
[[nodiscard]] std::vector<owned_range> kept_ranges(const key_owner& state);

/// Changes of ownership that this daemon requests in addition to its own
/// releases.
struct ownership_changes {
    std::vector<transfer> transfers;
    /// Owners whose leases have expired and which the transaction revokes.
    std::vector<host_id> revoked_owners;
    /// Releases of other owners that the transaction includes.
    std::vector<relayed_release> relayed;
};

/// The current instances of the hosts that may receive keys.
using current_instances = std::map<host_id, directory::instance_run>;

/// Returns the next transaction and marks it as in flight, or nothing if none
/// is due or one is already in flight.
[[nodiscard]] std::optional<platform::transaction> start_next_transaction(
    key_owner& state,
    const ownership_changes& wanted,
    const current_instances& instances,
    instant now
);

/// The table has been restored from an older copy. Must not be called while a
/// transaction is in flight. `is_first_start` tells that this daemon has known
/// no earlier era because the whole system starts for the first time.
void begin_era(
    key_owner& state, platform::table_era era, bool is_first_start, instant now
);

/// Handles the result of the transaction in flight. Returns the change that it
/// made to the map, to be sent to the other daemons.
std::optional<key_map_change> handle_commit_result(
    key_owner& state, const platform::commit_result& result, instant now
);

/// Handles a read of all rows of the service, in which the lease rows were read
/// before the map. Throws `decode_error` if the map or the own lease can't be
/// read.
void apply_rows(
    key_owner& state, const std::vector<platform::row>& rows, instant now
);

/// Handles a read of the lease rows alone. Throws as `apply_rows`.
void apply_lease_rows(
    key_owner& state, const std::vector<platform::row>& rows, instant now
);

/// Handles the map row as a table subscription delivers it. Ignores a row that
/// isn't newer than the known map. Returns whether the map was replaced.
bool apply_map_row(key_owner& state, const platform::row& row);

/// Handles a map change that another daemon made. If a gap persists, the caller
/// has to read the rows.
change_result apply_map_change(key_owner& state, const key_map_change& change);

[[nodiscard]] platform::row_key map_row_key(const service_id& service);
[[nodiscard]] platform::row_key
lease_row_key(const service_id& service, host_id host);

/// Decodes the value of the map row. Throws `decode_error`.
[[nodiscard]] key_map decode_map(const std::string& value);

} // namespace apricotstile::keys

#endif
