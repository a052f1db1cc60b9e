// Assignment of keys to owners: the initial assignment, the takeover of keys
// whose owner's lease has expired or was revoked, and moves to new members and
// to faster instances. Moves from overloaded owners are in
// `keys/load_rebalancing.hpp`.

#ifndef APRICOTSTILE_KEYS_TAKEOVER_HPP
#define APRICOTSTILE_KEYS_TAKEOVER_HPP

#include <apricotstile/keys/key_load.hpp>
#include <apricotstile/keys/key_owner.hpp>

namespace apricotstile::keys {

/// A daemon that may receive keys.
struct key_member {
    host_id host;
    directory::instance_run instance;
    /// Running and waiting requests per slot of its instance, as last reported.
    double requests_per_slot{0};
    /// Whether its instance accepts fewer requests than its slots could serve.
    bool limited{false};
    /// Whether its instance is, or may be, cold: a member reports this by its
    /// usable slots only, as it reports a limit.
    bool cold{false};
    /// Mean service time of its instance; zero while unknown.
    duration mean_service_time{0};
    /// Failure ratio of its instance's answers, from 0 to 1.
    double failure_ratio{0};
    /// Whether it may own keys. Members in regions that the service's routes
    /// don't allow receive none and move those that they own away.
    bool may_own{true};
};

struct takeover_policy {
    /// Keys are first assigned once the members have been unchanged for this
    /// time, so that members that join together all receive keys.
    duration stabilization_delay{std::chrono::milliseconds{900}};
    /// Delay for each member with a lower rank, so that usually only one daemon
    /// acts.
    duration delay_per_rank{std::chrono::milliseconds{1500}};
    /// Maximum number of owners whose leases one transaction revokes. The
    /// table's transactions have a limited number of entries, two for each.
    std::size_t max_revocations{40};
    /// An instance moves keys away if it is this many times slower than another
    /// one that has spare capacity.
    double slow_factor{1.5};
    /// Such moves stop once it has only this part of an even share.
    double min_slow_share{0.5};
    /// A faster instance receives keys only below this load.
    double max_receiver_requests_per_slot{0.6};
    /// An instance with at least this failure ratio moves its keys to others,
    /// unless the failure ratio of most of them is above `healthy_threshold`.
    double outlier_threshold{0.35};
    double healthy_threshold{0.1};
    /// The number of members that move keys to a new member.
    std::size_t max_donors{4};
    /// Whether a new member may get a whole range if none is large enough to be
    /// split. Of two members, the one that has taken over from the other has
    /// no range that is larger than half of all keys.
    bool moves_whole_ranges{false};
    /// The part of its load that a slow instance moves away at a time.
    double slow_move_share{0.25};
};

/// The members as one daemon sees them.
struct membership_view {
    /// Sorted by host; includes this daemon.
    std::vector<key_member> members;
    /// When `members` last changed.
    instant members_unchanged_since;
    /// The number of members that act before this daemon.
    std::size_t rank{0};
};

/// The initial assignment, or the takeover from owners whose lease has expired
/// or was revoked.
[[nodiscard]] ownership_changes plan_takeover(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view,
    instant now
);

/// Whether the member on `host` may own keys. True for a host that isn't a
/// member.
[[nodiscard]] bool may_own_keys(const membership_view& view, host_id host);

struct key_move {
    key_range keys;
    host_id target;
};

/// Moves a part of this daemon's keys to a new member. Nothing if no such move
/// is due or a release is still in progress.
[[nodiscard]] std::optional<key_move> plan_newcomer_move(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
);

/// Whether this daemon's instance is an outlier: it fails many of its requests
/// while most other instances don't. It may still pass its health checks.
[[nodiscard]] bool is_failure_outlier(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
);

/// A member with spare capacity whose instance is much faster than this
/// daemon's; nothing if there is none or this daemon owns few keys.
[[nodiscard]] std::optional<host_id> find_much_faster_member(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
);

/// A range of this daemon's keys whose load is about `slots`; nothing if no
/// range of adjacent keys has such a load.
[[nodiscard]] std::optional<key_range>
find_keys_to_move(const key_owner& state, const key_load& load, double slots);

/// The load in slots of the keys that this daemon owns and isn't releasing.
[[nodiscard]] double kept_load(const key_owner& state, const key_load& load);

/// Moves for all keys of this daemon, as its instance leaves or it may no
/// longer own them. Members with a cold instance receive none if there are
/// others.
[[nodiscard]] std::vector<key_move>
plan_departure(const key_owner& state, const membership_view& view);

/// Assigns another target to each release whose target is no longer a member or
/// may no longer own keys; one with a cold instance only if there are no
/// others.
void retarget_releases(key_owner& state, const membership_view& view);

} // namespace apricotstile::keys

#endif
