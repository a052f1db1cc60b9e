// Which regions may serve a route's requests, and own the keys of a service.
// Operators restrict routes to regions where a request's contents may not leave
// them. So a restriction takes precedence over availability: where no allowed
// region can serve a request, it is rejected.
//
// Each daemon on a request's way decides by its own configuration. While a
// change propagates, the stricter of two configurations applies.

#ifndef APRICOTSTILE_ROUTING_ALLOWED_REGIONS_HPP
#define APRICOTSTILE_ROUTING_ALLOWED_REGIONS_HPP

#include <apricotstile/routing/routing_config.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace apricotstile::routing {

/// The intersection of any number of lists of regions. Unlike in a list, no
/// regions means that none is allowed.
struct region_set {
    /// Whether any list was a restriction.
    bool restricted{false};
    /// Sorted; used only if it is restricted.
    std::vector<region_id> regions;
};

/// Intersects `set` with a list, in any order; an empty one is no restriction.
void restrict_to(region_set& set, std::vector<region_id> list);

[[nodiscard]] bool is_allowed(const region_set& set, const region_id& region);

/// The restrictions of a configuration.
struct region_restrictions {
    /// Restricted routes by the hash of their name. Routes with the same hash
    /// have the intersection, as a daemon beside an instance can't tell them
    /// apart.
    std::unordered_map<std::uint32_t, region_set> routes;
    /// The intersection over the restricted routes to each service that has
    /// such routes.
    std::unordered_map<service_id, region_set> services;
    std::size_t restricted_routes{0};
};

[[nodiscard]] region_restrictions find_restrictions(const routing_config& config
);

/// What a restriction of a request depends on.
struct restricted_request {
    std::uint32_t route_hash{0};
    service_id service;
    bool keyed{false};
};

/// Whether an instance in `region` may serve a request. If no region is left
/// for the keys of a service, none may serve a restricted route's request that
/// has a key.
[[nodiscard]] bool may_serve(
    const region_restrictions& restrictions,
    const restricted_request& request,
    const region_id& region
);

/// Whether a member in `region` may own keys of the service. If no region is
/// left for them, keys stay where they are.
[[nodiscard]] bool may_own_keys(
    const region_restrictions& restrictions,
    const service_id& service,
    const region_id& region
);

/// What a configuration leaves without a region, by the regions in which there
/// are hosts of each service. Services without any host aren't considered.
struct unserved_parts {
    /// Names of restricted routes, with each of their services that has no host
    /// in an allowed region.
    std::vector<std::pair<std::string, service_id>> routes;
    /// Keyed services whose keys no host may own.
    std::vector<service_id> services;
};

[[nodiscard]] unserved_parts find_unserved_parts(
    const routing_config& config,
    const std::map<service_id, std::set<region_id>>& service_regions
);

} // namespace apricotstile::routing

#endif
