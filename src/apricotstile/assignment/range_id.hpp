// The unit of ownership: a slice, or a single key that is owned separately from
// its slice.

#ifndef APRICOTSTILE_ASSIGNMENT_RANGE_ID_HPP
#define APRICOTSTILE_ASSIGNMENT_RANGE_ID_HPP

#include <apricotstile/core/ids.hpp>

#include <string>

namespace apricotstile::assignment {

struct range_id {
    service_id service;
    /// For a single key: the slice that the key hashes to.
    slice_id slice;
    /// Empty for a slice, which doesn't include the keys among its exceptions.
    std::string key;

    friend auto operator<=>(const range_id&, const range_id&) = default;
    friend bool operator==(const range_id&, const range_id&) = default;
};

template <class Archive>
void serialize(Archive& archive, range_id& value) {
    archive(value.service, value.slice, value.key);
}

} // namespace apricotstile::assignment

#endif
