// One daemon's hold on the keys of the service beside it. The lease that lets
// it grant keys is a row of the platform's table that it renews; owners are
// changed by transactions on the map's row. A daemon grants only ranges that
// the map gives it, only while its lease lasts, and never past its end.
//
// A lease is counted from before its renewal was sent, and others take keys
// over only when they have seen its row unchanged for longer than its length,
// by a transaction on that very row. A lease that has run out is acquired
// again only together with the map as the daemon knows it, so that no grant
// follows from a map that others have changed meanwhile.

#ifndef APRICOTSTILE_KEYS_KEEPER_HPP
#define APRICOTSTILE_KEYS_KEEPER_HPP

#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <optional>

namespace apricotstile::keys {

struct keeper_policy {
    /// Owners change at the earliest this long after a lease's last renewal.
    duration lease_length{std::chrono::seconds{12}};
    duration renewal_interval{std::chrono::seconds{2}};
    /// After a time without readings of the leases, their holders get this
    /// long to renew them before they count as run out.
    duration renewal_grace{std::chrono::milliseconds{2500}};
    /// Readings farther apart than this leave such a time.
    duration reading_gap{std::chrono::seconds{3}};
    /// Grants last this long at most; an instance that fell silent holds its
    /// keys until then.
    duration longest_hold{std::chrono::seconds{4}};
    /// Below this a grant isn't worth its bytes.
    duration shortest_hold{std::chrono::milliseconds{200}};
    /// Clocks that measure leases and holds may run this much slow.
    double clock_drift{0.03};
    duration margin{std::chrono::milliseconds{100}};
    /// Ranges that one answer holds at most.
    std::size_t max_grants{90};
};

/// A range that its instance is to give up.
struct release {
    key_range keys;
    /// Who is to have it.
    host_id target;
    std::string handover;
    /// Whether an answer has left the range out.
    bool omitted{false};
    /// Whether the instance certainly doesn't hold it.
    bool is_free{false};
};

/// A lease's row as another daemon watches it.
struct watched_lease {
    platform::row_version version;
    /// When this version was first seen.
    instant since;
};

struct keeper {
    keeper_policy policy;
    host_id self;
    incarnation run;
    service_id service;

    /// The instance beside this daemon; nothing while none is known.
    std::optional<directory::instance_life> life;

    platform::row_version lease_version;
    instant lease_end;
    instant renew_at;
    std::uint64_t renewals{0};

    /// Whether the rows were read at least once.
    bool rows_known{false};
    /// Whether a call ended so that only a reading tells what holds.
    bool needs_read{true};
    platform::row_version map_version;
    key_map map;

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
        bool renews{false};
        std::optional<key_map> new_map;
    };
    std::optional<pending> in_flight;
};

[[nodiscard]] keeper make_keeper(
    const keeper_policy& policy,
    host_id self,
    incarnation run,
    const service_id& service
);

[[nodiscard]] bool has_lease(const keeper& state, instant now);

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
void take_result(keeper& state, const platform::commit_result& result);

/// All rows of the service. `asked` is when the reading was sent.
void take_rows(
    keeper& state,
    const std::vector<platform::row>& rows,
    instant asked,
    instant now
);

/// The map's row, as a follower of the table gets it. Older ones are ignored.
/// Returns whether it was taken.
bool take_map(keeper& state, const platform::row& row);

[[nodiscard]] platform::row_key map_row(const service_id& service);
[[nodiscard]] platform::row_key
lease_row(const service_id& service, host_id host);

/// The map in a row's value. Throws `decode_error`.
[[nodiscard]] key_map decode_map(const std::string& value);

} // namespace apricotstile::keys

#endif
