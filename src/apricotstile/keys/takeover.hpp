// Which keys get which owner: the first division, keys of owners whose leases
// have run out, and those that newcomers and faster instances are given. How
// crowded owners find room is in `keys/relief.hpp`.

#ifndef APRICOTSTILE_KEYS_TAKEOVER_HPP
#define APRICOTSTILE_KEYS_TAKEOVER_HPP

#include <apricotstile/keys/keeper.hpp>
#include <apricotstile/keys/key_load.hpp>

namespace apricotstile::keys {

/// A daemon that may be given keys.
struct member {
    host_id host;
    directory::instance_life life;
    /// Work at its instance for each slot, as last told.
    double pressure{0};
    /// Mean time of its instance for a request; zero while unknown.
    duration mean_service{0};
    /// The part of its instance's answers that were failures.
    double failing{0};
};

struct takeover_policy {
    /// Members that come within this time share in the first division.
    duration settling_time{std::chrono::milliseconds{900}};
    /// A daemon acts this much later for each one before it, so that as a
    /// rule only one acts.
    duration delay_by_rank{std::chrono::milliseconds{1500}};
    /// An instance this many times slower than another, which has room, gives
    /// keys away until it has this part of an even share.
    double slow_factor{1.5};
    double slow_share{0.5};
    /// Keys go to a faster instance below this pressure only.
    double roomy_pressure{0.6};
    /// An instance that fails this part of its requests gives its keys to
    /// others, unless most of them fail more than the second part.
    double failing_much{0.35};
    double failing_little{0.1};
    /// The part of its load that a slow instance gives away at a time.
    double slow_part{0.25};
};

/// Who takes part, as one daemon sees it.
struct takeover_view {
    /// By host; this daemon among them.
    std::vector<member> members;
    /// When `members` last changed.
    instant members_since;
    /// Members before this daemon that act first.
    std::size_t rank{0};
};

/// Changes for owners that can't make them.
[[nodiscard]] wanted_changes plan_takeover(
    const keeper& state,
    const takeover_policy& policy,
    const takeover_view& view,
    instant now
);

struct move {
    key_range keys;
    host_id target;
};

/// The part of this daemon's keys that a newcomer is to have, or nothing.
[[nodiscard]] std::optional<move> plan_welcome(
    const keeper& state,
    const takeover_policy& policy,
    const takeover_view& view
);

/// Whether this daemon's instance fails much of what it gets while most others
/// don't. Health checks may say otherwise.
[[nodiscard]] bool fails_alone(
    const keeper& state,
    const takeover_policy& policy,
    const takeover_view& view
);

/// A member with room whose instance is much faster than this daemon's, while
/// this one still has a good share of the keys.
[[nodiscard]] std::optional<host_id> much_faster(
    const keeper& state,
    const takeover_policy& policy,
    const takeover_view& view
);

/// Keys of this daemon that keep about `slots` of its instance busy, or
/// nothing where no neighbouring ones do.
[[nodiscard]] std::optional<key_range>
keys_worth(const keeper& state, const key_load& load, double slots);

/// The slots that the keys which this daemon keeps are worth.
[[nodiscard]] double demand_of(const keeper& state, const key_load& load);

/// Moves for all keys of this daemon, whose instance leaves.
[[nodiscard]] std::vector<move>
plan_departure(const keeper& state, const takeover_view& view);

/// Gives releases whose targets are gone to other members.
void retarget_releases(keeper& state, const takeover_view& view);

} // namespace apricotstile::keys

#endif
