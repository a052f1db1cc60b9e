// The attributes of a request by which its work is estimated.

#ifndef APRICOTSTILE_SIDECAR_INTERNAL_REQUEST_FEATURES_HPP
#define APRICOTSTILE_SIDECAR_INTERNAL_REQUEST_FEATURES_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/serving/work_estimate.hpp>

namespace apricotstile::sidecar::internal {

[[nodiscard]] serving::work_features work_features_of(
    const peer::routed_request& request, const service_id& caller_service
);

} // namespace apricotstile::sidecar::internal

#endif
