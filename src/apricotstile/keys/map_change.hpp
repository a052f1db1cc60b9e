// A change of a service's map as the daemon that made it tells the others.
// Whoever knows the map before it applies it. Changes of several daemons may
// overtake each other on their way; only where one stays missing is the map
// read.

#ifndef APRICOTSTILE_KEYS_MAP_CHANGE_HPP
#define APRICOTSTILE_KEYS_MAP_CHANGE_HPP

#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>

namespace apricotstile::keys {

struct map_change {
    service_id service;
    /// Of the map's row before and after.
    platform::row_version from;
    platform::row_version to;
    std::vector<transfer> transfers;
};

/// Changes that came before those that they follow, by the version before
/// them.
using early_changes = std::map<platform::row_version, map_change>;

/// A map with the version of its row.
struct versioned_map {
    platform::row_version version;
    key_map map;
    early_changes early;
};

enum class change_result : std::uint8_t {
    applied,
    /// The map has it already, or is newer.
    known,
    /// Changes before it are missing; it is kept for when they come.
    gap
};

[[nodiscard]] change_result
apply_change(versioned_map& known, const map_change& change);

/// The map was replaced by a newer one: applies what follows it, and forgets
/// what it has.
void apply_early(versioned_map& known);

template <class Archive>
void serialize(Archive& archive, transfer& value) {
    archive(value.keys, value.owner, value.life, value.handover);
}

template <class Archive>
void serialize(Archive& archive, map_change& value) {
    archive(value.service, value.from, value.to, value.transfers);
}

} // namespace apricotstile::keys

#endif
