// The ingress's state in dumps, and what responses say of instances.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_INGRESS_DESCRIPTION_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_INGRESS_DESCRIPTION_HPP

#include <apricotstile/request/request_snapshot.hpp>
#include <apricotstile/upstream/upstream_snapshot.hpp>

#include <nlohmann/json.hpp>

namespace apricotstile::daemon::internal {

/// What `response` tells the load balancer of the instance that gave it.
[[nodiscard]] upstream::send_result
send_result_of(const request::routed_response& response);

/// What a dump shows of requests in flight and of instances.
[[nodiscard]] nlohmann::json describe(
    const request::ingress_snapshot& requests,
    const upstream::load_balancer_snapshot& balancer
);

} // namespace apricotstile::daemon::internal

#endif
