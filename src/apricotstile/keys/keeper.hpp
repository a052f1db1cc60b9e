// One daemon's hold on the keys of the service beside it. A daemon grants only
// ranges that the map gives it, only while its lease lasts, and never past its
// end.
//
// The lease is a row of the platform's table that names its guardians, other
// daemons. It lasts while enough of them promise it, so that it outlives
// outages of the table, and until the table hasn't confirmed it for a long
// time. Others take the keys over by a transaction on that very row, once
// enough guardians have agreed, or once they have seen the row unchanged for
// longer than it may stay unconfirmed.
//
// While a change of guardians is on its way, the lease needs the promises of
// the old and of the new ones. A row of another run, or one that was ended by
// others, is acquired only together with the map as the daemon knows it, which
// is written anew: no grant follows from a map that others have changed, and no
// change that an earlier run sent comes into force any more.

#ifndef APRICOTSTILE_KEYS_KEEPER_HPP
#define APRICOTSTILE_KEYS_KEEPER_HPP

#include <apricotstile/keys/guardian_id.hpp>
#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/keys/lease_policy.hpp>
#include <apricotstile/keys/map_change.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <optional>
#include <set>

namespace apricotstile::keys {

struct keeper_policy {
    lease_policy lease;
    /// Grants last this long at most; an instance that fell silent holds its
    /// keys until then.
    duration longest_hold{std::chrono::seconds{4}};
    /// An answer that took longer has been given up by its instance.
    duration answer_lifetime{std::chrono::milliseconds{1100}};
    /// Below this a grant isn't worth its bytes.
    duration shortest_hold{std::chrono::milliseconds{200}};
    /// After a time without readings of the leases, their holders get this
    /// long to confirm them before they count as run out.
    duration confirm_grace{std::chrono::milliseconds{2500}};
    /// Readings farther apart than this leave such a time.
    duration reading_gap{std::chrono::seconds{4}};
    /// Ranges that one answer holds at most.
    std::size_t max_grants{90};
};

/// A range that its instance is to give up.
struct release {
    key_range keys;
    /// Who is to have it.
    host_id target;
    std::string handover;
    /// When an answer first left the range out.
    std::optional<instant> omitted_at;
    /// Whether the instance certainly doesn't hold it.
    bool is_free{false};
};

/// A lease's row as another daemon watches it.
struct watched_lease {
    platform::row_version version;
    /// When this version was first seen.
    instant since;
    guardian_list guardians;
    /// Guardians that have agreed to end this version.
    std::set<host_id> agreed;
};

struct keeper {
    keeper_policy policy;
    host_id self;
    incarnation run;
    service_id service;

    /// The instance beside this daemon; nothing while none is known.
    std::optional<directory::instance_life> life;

    platform::row_version lease_version;
    /// Whether this run wrote the row at `lease_version`.
    bool owns_row{false};
    /// The end of the lease as far as the table goes.
    instant confirmed_until;
    instant confirm_at;
    std::uint64_t confirmations{0};
    /// Guardians in the row.
    guardian_list guardians;
    /// Guardians that the row is to have.
    guardian_list wanted_guardians;
    /// Those of transactions whose result is unknown.
    std::vector<guardian_list> doubtful_guardians;
    /// When each guardian was asked for its newest promise.
    std::map<guardian_id, instant> promises;

    /// Whether the rows were read at least once.
    bool rows_known{false};
    /// Whether a call ended so that only a reading tells what holds.
    bool needs_read{true};
    platform::row_version map_version;
    key_map map;
    /// Changes of the map that came too early.
    early_changes early;

    std::vector<release> releases;
    /// What the last answer granted.
    std::vector<key_range> granted;
    /// No grant of this daemon lasts longer.
    instant held_until;

    std::map<host_id, watched_lease> watched;
    /// The last reading of the leases.
    instant last_reading;
    /// No lease counts as run out before.
    instant grace_until;

    /// The one transaction in flight.
    struct pending {
        instant sent;
        bool confirms{false};
        guardian_list guardians;
        std::optional<key_map> new_map;
        std::vector<transfer> transfers;
    };

    std::optional<pending> in_flight;
};

[[nodiscard]] keeper make_keeper(
    const keeper_policy& policy,
    host_id self,
    incarnation run,
    const service_id& service
);

/// When the lease ends unless it is promised again.
[[nodiscard]] instant lease_end(const keeper& state);

[[nodiscard]] bool has_lease(const keeper& state, instant now);

/// Whether the wanted guardians promise the lease for longer than any grant
/// lasts, so that they may be written.
[[nodiscard]] bool is_prepared(const keeper& state, instant now);

/// Everyone whose promise the lease needs, or may need soon.
[[nodiscard]] std::set<guardian_id> all_guardians(const keeper& state);

/// `guardian` has promised the lease when asked at `asked`.
void take_promise(keeper& state, const guardian_id& guardian, instant asked);

/// `guardian` has agreed to a deposition and promises this lease no more: it
/// is to be confirmed in the table at once.
void take_refusal(keeper& state);

/// `guardian` has agreed to end the lease of `holder` at `version`.
void take_agreement(
    keeper& state,
    host_id guardian,
    host_id holder,
    platform::row_version version
);

/// Whether a request for `key` may go to the instance now.
[[nodiscard]] bool
may_dispatch(const keeper& state, key_number key, instant now);

/// A heartbeat of the instance beside this daemon; the caller has dropped late
/// and foreign ones.
[[nodiscard]] heartbeat_answer
take_heartbeat(keeper& state, const heartbeat& beat, instant now);

/// The instance is leaving and sends no more heartbeats. It may hold keys
/// until its last grant runs out.
void instance_left(keeper& state);

/// The instance is to give up `keys` to `target`. It serves them until the
/// answer to its next heartbeat leaves them out.
void start_release(keeper& state, const key_range& keys, host_id target);

/// Ranges that this daemon owns and doesn't release, with their rows.
[[nodiscard]] std::vector<owned_range> kept_ranges(const keeper& state);

/// The owners' changes that this daemon wants, beside its own releases.
struct wanted_changes {
    std::vector<transfer> transfers;
    /// Owners whose leases have run out and are voided by the transaction.
    std::vector<host_id> voided;
};

/// The lives of instances that may be given keys.
using known_lives = std::map<host_id, directory::instance_life>;

/// The next transaction, or nothing while none is due or one is in flight.
[[nodiscard]] std::optional<platform::transaction> next_transaction(
    keeper& state,
    const wanted_changes& wanted,
    const known_lives& lives,
    instant now
);

/// The result of the transaction in flight.
/// Returns the change of the map that it made, for the other daemons.
std::optional<map_change>
take_result(keeper& state, const platform::commit_result& result, instant now);

/// All rows of the service, or all of its leases.
void take_rows(
    keeper& state, const std::vector<platform::row>& rows, instant now
);

/// The map's row, as a follower of the table gets it. Older ones are ignored.
/// Returns whether it was taken.
bool take_map(keeper& state, const platform::row& row);

/// A change of the map that another daemon made. After a gap that lasts the
/// rows are to be read.
change_result take_change(keeper& state, const map_change& change);

[[nodiscard]] platform::row_key map_row(const service_id& service);
[[nodiscard]] platform::row_key
lease_row(const service_id& service, host_id host);

/// The map in a row's value. Throws `decode_error`.
[[nodiscard]] key_map decode_map(const std::string& value);

} // namespace apricotstile::keys

#endif
