// Finds the route of a request: its host, then the longest prefix of its path.

#ifndef APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP
#define APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP

#include <apricotstile/routing/routing_config.hpp>

#include <string_view>

namespace apricotstile::routing {

/// A configuration with an index over its routes.
struct route_table {
    routing_config config;
    /// Indices into `config.routes` for each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host;
};

[[nodiscard]] route_table make_route_table(routing_config config);

/// The route of a request, or null. `host` may carry a port, which doesn't
/// count; `target` is a path with or without a query.
[[nodiscard]] const route* find_route(
    const route_table& table, std::string_view host, std::string_view target
);

/// The service that gets a request, by the route's weights. `draw` is uniform
/// in [0, 1).
[[nodiscard]] const service_id& choose_service(const route& where, double draw);

} // namespace apricotstile::routing

#endif
