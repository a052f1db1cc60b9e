// Finds the route of a request by its host and the longest matching prefix of
// its path.

#ifndef APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP
#define APRICOTSTILE_ROUTING_ROUTE_TABLE_HPP

#include <apricotstile/routing/allowed_regions.hpp>
#include <apricotstile/routing/routing_config.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace apricotstile::routing {

/// Hashes texts, so that a map of strings can be searched for a part of one.
struct text_hash {
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

template <class Value>
using text_map =
    std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// The routes of one host.
struct host_routes {
    /// Indices into the configuration's routes.
    text_map<std::size_t> by_prefix;
    /// No longer part of a path is looked up.
    std::size_t longest_prefix{0};
};

/// A configuration with an index of its routes. A request is looked up under
/// each part of its path that ends with a slash, however many routes there are.
struct route_table {
    routing_config config;
    text_map<host_routes> by_host;
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
