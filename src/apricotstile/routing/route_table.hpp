// Finds the route of a request by its host and the longest matching prefix of
// its path.

#ifndef APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP
#define APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP

#include <apricotstile/routing/allowed_regions.hpp>
#include <apricotstile/routing/routing_config.hpp>

#include <string_view>

namespace apricotstile::routing {

/// A configuration with an index of its routes.
struct route_table {
    routing_config config;
    /// Indices into `config.routes` for each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host;
    region_restrictions restrictions;
};

[[nodiscard]] route_table make_route_table(routing_config config);

/// Returns the route of a request, or null if none matches. `host` may include
/// a port, which is ignored; `target` is a path with or without a query.
[[nodiscard]] const route* find_route(
    const route_table& table, std::string_view host, std::string_view target
);

/// Selects the service for a request at random, in proportion to the route's
/// weights. `draw` is a random number, uniform in [0, 1).
[[nodiscard]] const service_id&
choose_service(const route& matched, double draw);

} // namespace apricotstile::routing

#endif
