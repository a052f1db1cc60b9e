// Where a host stands.

#ifndef APRICOTSTILE_HOST_LOCATION_HPP
#define APRICOTSTILE_HOST_LOCATION_HPP

#include <apricotstile/core/ids.hpp>

namespace apricotstile {

/// A failure domain belongs to exactly one region.
struct location {
    region_id region;
    failure_domain_id failure_domain;

    friend bool operator==(const location&, const location&) = default;
};

template <class Archive>
void serialize(Archive& archive, location& value) {
    archive(value.region, value.failure_domain);
}

} // namespace apricotstile

#endif
