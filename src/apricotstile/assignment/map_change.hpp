// The difference between one version of the assignment map and the next. Each
// transaction writes one change; daemons keep a history of changes and exchange
// them.

#ifndef APRICOTSTILE_ASSIGNMENT_MAP_CHANGE_HPP
#define APRICOTSTILE_ASSIGNMENT_MAP_CHANGE_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/codec.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::assignment {

struct slice_change {
    slice_id slice;
    /// The slice's complete assignment after the change.
    slice_assignment assignment;

    friend bool operator==(const slice_change&, const slice_change&) = default;
};

struct key_change {
    std::string key;
    /// Empty if the key's exception is removed.
    std::optional<slice_assignment> assignment;

    friend bool operator==(const key_change&, const key_change&) = default;
};

/// The entries of a service are applied in order, so a later one for the same
/// range takes precedence.
struct service_change {
    service_id service;
    /// The service is created with this many slices if the map doesn't have it.
    std::uint32_t slice_count{0};
    std::vector<slice_change> slices;
    std::vector<key_change> keys;

    friend bool
    operator==(const service_change&, const service_change&) = default;
};

struct map_change {
    /// The map's version after the change.
    map_version version;
    /// At most one entry per service.
    std::vector<service_change> services;

    friend bool operator==(const map_change&, const map_change&) = default;
};

/// Applies `change` to `map`. Throws `std::logic_error` if the change's version
/// isn't the one after the map's.
void apply_change(assignment_map& map, const map_change& change);

/// The entry for `service` in `change`, added if it is missing.
[[nodiscard]] service_change& change_of(
    map_change& change, const service_id& service, std::uint32_t slice_count
);

/// Records in `change` the assignment of `range` after it. Takes precedence
/// over earlier entries for the range.
void set_assignment(
    map_change& change,
    const range_id& range,
    std::uint32_t slice_count,
    const slice_assignment& assignment
);

/// The number of slice and key entries in `change`.
[[nodiscard]] std::size_t entry_count(const map_change& change);

template <class Archive>
void serialize(Archive& archive, slice_change& value) {
    archive(value.slice, value.assignment);
}

template <class Archive>
void serialize(Archive& archive, key_change& value) {
    archive(value.key, value.assignment);
}

template <class Archive>
void serialize(Archive& archive, service_change& value) {
    archive(value.service, value.slice_count, value.slices, value.keys);
}

template <class Archive>
void serialize(Archive& archive, map_change& value) {
    archive(value.version, value.services);
}

} // namespace apricotstile::assignment

#endif
