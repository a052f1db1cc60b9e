// Tells nested requests, which an instance makes while it runs another one and
// which it can't end without, from callers' requests. Callers sit on all hosts;
// a nested request originates only beside the services that make it.

#ifndef APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP
#define APRICOTSTILE_SERVING_CALLER_ORIGINS_HPP

#include <apricotstile/core/ids.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>

namespace apricotstile::serving {

/// Requests by the service beside the host where they originated.
struct origin_counts {
    std::map<service_id, double> by_service;
    double total{0};
};

/// What one daemon has seen of the requests for its instance.
struct caller_origins {
    origin_counts all;
    /// By hash of the route's name.
    std::unordered_map<std::uint32_t, origin_counts> by_route;
};

void note_origin(
    caller_origins& origins, std::uint32_t route, const service_id& service
);

/// Whether requests of `route` never originate beside a service that others
/// originate from. Not before enough of them were seen.
[[nodiscard]] bool
is_nested(const caller_origins& origins, std::uint32_t route);

} // namespace apricotstile::serving

#endif
