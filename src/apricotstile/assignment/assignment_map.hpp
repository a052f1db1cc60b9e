// The whole assignment as a daemon holds it to route by.

#ifndef APRICOTSTILE_ASSIGNMENT_ASSIGNMENT_MAP_HPP
#define APRICOTSTILE_ASSIGNMENT_ASSIGNMENT_MAP_HPP

#include <apricotstile/assignment/slice_assignment.hpp>

#include <map>
#include <string>
#include <vector>

namespace apricotstile::assignment {

/// A key that is owned apart from its slice.
struct key_exception {
    std::string key;
    slice_assignment assignment;

    friend bool
    operator==(const key_exception&, const key_exception&) = default;
};

struct service_assignment {
    /// Indexed by slice; its length is fixed for the life of the service.
    std::vector<slice_assignment> slices;
    /// Sorted by key, a few dozen at most; goes before the slice.
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
