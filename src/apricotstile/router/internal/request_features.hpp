// The attributes of a request by which its work is estimated.

#ifndef APRICOTSTILE_ROUTER_INTERNAL_REQUEST_FEATURES_HPP
#define APRICOTSTILE_ROUTER_INTERNAL_REQUEST_FEATURES_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/router/frames.hpp>
#include <apricotstile/serving/work_estimate.hpp>

namespace apricotstile::router::internal {

[[nodiscard]] serving::work_features work_features_of(
    const routed_request& request, const service_id& caller_service
);

} // namespace apricotstile::router::internal

#endif
