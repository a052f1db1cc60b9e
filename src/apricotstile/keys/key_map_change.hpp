// A change of a service's key map, as the daemon that made it sends it to the
// other daemons. A daemon applies a change to the map version that precedes it.
// Changes of several daemons may arrive out of order; the map is read from the
// table only if a missing change doesn't arrive.

#ifndef APRICOTSTILE_KEYS_KEY_MAP_CHANGE_HPP
#define APRICOTSTILE_KEYS_KEY_MAP_CHANGE_HPP

#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>

namespace apricotstile::keys {

struct key_map_change {
    service_id service;
    /// Versions of the map row before and after the change.
    platform::row_version from_version;
    platform::row_version to_version;
    std::vector<transfer> transfers;
};

/// Changes that arrived before their predecessors, by the map version that
/// precedes them.
using buffered_changes = std::map<platform::row_version, key_map_change>;

/// A key map and the version of its row.
struct versioned_map {
    platform::row_version version;
    key_map map;
    buffered_changes buffered;
};

enum class change_result : std::uint8_t {
    applied,
    /// The map already contains the change.
    already_applied,
    /// A preceding change is missing; this one is kept until it arrives.
    gap
};

/// Applies `change` and those buffered changes that follow it.
[[nodiscard]] change_result
apply_change(versioned_map& known, const key_map_change& change);

/// Must be called after the map was replaced by a newer one. Applies the
/// buffered changes that follow it and drops those that it contains.
void apply_buffered_changes(versioned_map& known);

template <class Archive>
void serialize(Archive& archive, transfer& value) {
    archive(value.keys, value.owner, value.instance, value.handover);
}

template <class Archive>
void serialize(Archive& archive, key_map_change& value) {
    archive(
        value.service, value.from_version, value.to_version, value.transfers
    );
}

} // namespace apricotstile::keys

#endif
