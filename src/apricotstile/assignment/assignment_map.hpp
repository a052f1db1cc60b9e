// The complete assignment map: which member owns each slice and key of each
// service. Every daemon holds a copy and routes requests by it.

#ifndef APRICOTSTILE_ASSIGNMENT_ASSIGNMENT_MAP_HPP
#define APRICOTSTILE_ASSIGNMENT_ASSIGNMENT_MAP_HPP

#include <apricotstile/assignment/slice_assignment.hpp>

#include <map>
#include <string>
#include <vector>

namespace apricotstile::assignment {

/// A key with an assignment of its own, which overrides that of its slice.
struct key_exception {
    std::string key;
    slice_assignment assignment;

    friend bool
    operator==(const key_exception&, const key_exception&) = default;
};

struct service_assignment {
    /// Indexed by slice id. The length never changes once the service exists.
    std::vector<slice_assignment> slices;
    /// Sorted by key, a few dozen at most. Each takes precedence over the slice
    /// that its key hashes to.
    std::vector<key_exception> exceptions;

    friend bool
    operator==(const service_assignment&, const service_assignment&) = default;
};

struct assignment_map {
    map_version version;
    std::map<service_id, service_assignment> services;

    friend bool
    operator==(const assignment_map&, const assignment_map&) = default;
};

template <class Archive>
void serialize(Archive& archive, key_exception& value) {
    archive(value.key, value.assignment);
}

template <class Archive>
void serialize(Archive& archive, service_assignment& value) {
    archive(value.slices, value.exceptions);
}

template <class Archive>
void serialize(Archive& archive, assignment_map& value) {
    archive(value.version, value.services);
}

} // namespace apricotstile::assignment

#endif
