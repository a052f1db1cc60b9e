// Load rebalancing: how much load an overloaded owner moves away, and to which
// members. Needed for hot keys that change over time and for instances of
// different speed. The load that members last reported may be outdated, and all
// overloaded owners would choose the same member by it. So an owner asks a few
// members for capacity right before it moves keys, and each of them reserves
// what it offers.
//
// The unit of load is the slot: the mean number of slots that the requests for
// some keys keep busy at their owner's instance.

#ifndef APRICOTSTILE_KEYS_LOAD_REBALANCING_HPP
#define APRICOTSTILE_KEYS_LOAD_REBALANCING_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace apricotstile::keys {

struct rebalancing_policy {
    /// An instance is overloaded above this load per slot.
    double overload_threshold{0.95};
    /// It is also overloaded above this number of running and waiting requests
    /// per slot.
    double backlog_threshold{1.2};
    /// Load per slot up to which an instance keeps or accepts keys.
    double target_utilization{0.65};
    /// Minimum part of its load that an instance with a backlog moves away,
    /// even if the load of its keys isn't above the target.
    double min_moved_share{0.2};
    /// Maximum number of members asked for capacity at one time.
    std::size_t max_members_asked{6};
    /// Maximum number of members that receive keys at one time.
    std::size_t max_receivers{4};
    /// Smallest load to move, in slots.
    double min_moved_slots{0.5};
    /// How long an offer stays reserved.
    duration offer_timeout{std::chrono::milliseconds{500}};
    /// How long the claimed part of an offer stays reserved, until the member
    /// counts the requests for the moved keys in its own load.
    duration claim_timeout{std::chrono::seconds{3}};
};

/// The load of an instance that serves keys.
struct instance_load {
    double slots{1};
    /// Load in slots of the keys that it owns and isn't releasing.
    double owned_key_load{0};
    /// Number of running and waiting requests.
    double outstanding_requests{0};
    /// Mean service time of a request; zero while unknown.
    duration mean_service_time{0};
    /// Whether it is cold. It neither gives keys away for its load, since it is
    /// warm again in seconds, nor receives any.
    bool cold{false};
};

/// The load in slots that an owner should move away; zero if it isn't
/// overloaded.
[[nodiscard]] double
excess_load(const rebalancing_policy& policy, const instance_load& load);

/// Identifies one owner's request for capacity.
struct capacity_request_id {
    host_id owner;
    std::uint64_t sequence{0};

    friend auto
    operator<=>(const capacity_request_id&, const capacity_request_id&) =
        default;
};

/// Capacity that a member has reserved for owners and that isn't part of its
/// load yet.
struct capacity_reservations {
    struct reservation {
        double slots{0};
        instant until;
    };

    std::map<capacity_request_id, reservation> reserved;
};

/// Reserves capacity for up to `wanted` slots. Returns the reserved slots, zero
/// if there are too few.
[[nodiscard]] double reserve_capacity(
    capacity_reservations& reservations,
    const rebalancing_policy& policy,
    const instance_load& load,
    const capacity_request_id& id,
    double wanted,
    instant now
);

/// Records that the owner uses `slots` of an offer, and frees the rest.
void claim_capacity(
    capacity_reservations& reservations,
    const rebalancing_policy& policy,
    const capacity_request_id& id,
    double slots,
    instant now
);

struct capacity_offer {
    host_id member;
    double slots{0};
    duration mean_service_time{0};
};

/// The load to move to one member: `owner_slots` in slots of the owner's
/// instance, `member_slots` in slots of the member's.
struct load_share {
    host_id member;
    double owner_slots{0};
    double member_slots{0};
};

/// Divides `wanted` slots of load among the offers, the largest first. An
/// instance that is faster than the owner's needs fewer slots for the same
/// requests.
[[nodiscard]] std::vector<load_share> divide_load(
    const rebalancing_policy& policy,
    const instance_load& load,
    double wanted,
    std::vector<capacity_offer> offers
);

} // namespace apricotstile::keys

#endif
