// Detects routes of nested requests: requests that an instance sends while it
// runs another one, which can't finish without them. Callers run on all hosts,
// whereas a nested request originates only on the hosts of the services that
// send it.
//
// Under load most requests at an instance may be nested ones, so the origins of
// a route are compared with the services' shares of the hosts, not with the
// origins of other requests.

#ifndef APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP
#define APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP

#include <apricotstile/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace apricotstile::serving {

/// Request counts by the service of the host where they originated.
struct origin_counts {
    std::map<service_id, double> by_service;
    double total{0};
};

/// Origins of the requests that one daemon received for its instance.
struct caller_origins {
    /// Each service's fraction of the hosts, which add up to one.
    std::map<service_id, double> host_shares;
    /// By hash of the route's name.
    std::unordered_map<std::uint32_t, origin_counts> by_route;
};

/// Who sends the requests of a route.
enum class request_origin : std::uint8_t {
    /// Too few requests were seen to tell.
    unknown,
    callers,
    /// Instances, while they run other requests.
    nested
};

/// Sets how many hosts there are of each service.
void set_host_counts(
    caller_origins& origins, const std::map<service_id, std::size_t>& hosts
);

void note_origin(
    caller_origins& origins, std::uint32_t route, const service_id& service
);

[[nodiscard]] request_origin
origin_of(const caller_origins& origins, std::uint32_t route);

} // namespace apricotstile::serving

#endif
