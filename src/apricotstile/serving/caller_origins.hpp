// Detects routes of nested requests: requests that an instance sends while it
// runs another one, which can't finish without them. Callers run on all hosts,
// whereas a nested request originates only on the hosts of the services that
// send it.

#ifndef APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP
#define APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP

#include <apricotstile/core/ids.hpp>

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
    origin_counts all;
    /// By hash of the route's name.
    std::unordered_map<std::uint32_t, origin_counts> by_route;
};

void note_origin(
    caller_origins& origins, std::uint32_t route, const service_id& service
);

/// Whether requests of `route` never originate at a service where many other
/// requests do. False until enough requests of `route` were seen.
[[nodiscard]] bool
is_nested(const caller_origins& origins, std::uint32_t route);

} // namespace apricotstile::serving

#endif
