// How much load an owner gives away, and to whom. Answers hot keys that move
// and instances of unlike speed: what members told of their load earlier is
// old, and all crowded owners would choose the same one. So an owner asks a few
// members for room right before it moves keys, and each of them reserves what
// it offers.
//
// Load is in slots: the mean number of slots that the requests for some keys
// keep busy at their owner's instance.

#ifndef APRICOTSTILE_KEYS_RELIEF_HPP
#define APRICOTSTILE_KEYS_RELIEF_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace apricotstile::keys {

struct relief_policy {
    /// An instance with more load for each slot than this gives some away.
    double crowded{0.85};
    /// So does one with more work, waiting or running, for each slot.
    double crowded_pressure{1.2};
    /// What an instance keeps or takes for each slot.
    double aim{0.65};
    /// A part of the load that is given away where only the work shows that
    /// the instance is crowded.
    double least_part{0.2};
    /// Members that are asked at one time.
    std::size_t asked{6};
    /// Members that get keys at one time.
    std::size_t receivers{4};
    /// Less than this part of a slot isn't moved.
    double least_slots{0.5};
    /// How long an offer is reserved, and how long what was claimed of it,
    /// until its requests are counted.
    duration offer_lifetime{std::chrono::milliseconds{500}};
    duration claim_lifetime{std::chrono::seconds{3}};
};

/// The load of an instance that holds keys.
struct key_service_load {
    double slots{1};
    /// Slots that the keys which it keeps are worth.
    double demand{0};
    /// Work that runs or waits.
    double work{0};
    /// Zero while unknown.
    duration mean_service{0};
};

/// What an owner wants to be rid of; zero where it isn't crowded.
[[nodiscard]] double
wanted_relief(const relief_policy& policy, const key_service_load& load);

/// One owner's request for room.
struct room_key {
    host_id owner;
    std::uint64_t sequence{0};

    friend auto operator<=>(const room_key&, const room_key&) = default;
};

/// What a member has promised to owners and isn't counted in its load yet.
struct room_book {
    struct reservation {
        double slots{0};
        instant until;
    };

    std::map<room_key, reservation> reserved;
};

/// Reserves room for up to `wanted`; returns what was reserved.
[[nodiscard]] double offer_room(
    room_book& book,
    const relief_policy& policy,
    const key_service_load& load,
    const room_key& asked,
    double wanted,
    instant now
);

/// The owner takes `slots` of an offer; the rest is free again.
void claim_room(
    room_book& book,
    const relief_policy& policy,
    const room_key& asked,
    double slots,
    instant now
);

struct room_offer {
    host_id member;
    double slots{0};
    duration mean_service{0};
};

/// Load for one member, in the owner's slots and in the member's.
struct relief_part {
    host_id member;
    double given{0};
    double taken{0};
};

/// Divides `wanted` among the offers, the largest first. An instance that is
/// faster than the owner's needs fewer slots for the same requests.
[[nodiscard]] std::vector<relief_part> divide_relief(
    const relief_policy& policy,
    const key_service_load& load,
    double wanted,
    std::vector<room_offer> offers
);

} // namespace apricotstile::keys

#endif
