// Builds the index of routes by host, and looks up routes.

#include <apricotstile/routing/route_table.hpp>

#include <algorithm>

namespace apricotstile::routing {

namespace {

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.rfind(':'));
}

} // namespace

route_table make_route_table(routing_config config) {
    route_table table;
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        const route& one = config.routes[index];
        host_routes& routes = table.by_host[one.host];
        routes.by_prefix.emplace(one.prefix, index);
        routes.longest_prefix =
            std::max(routes.longest_prefix, one.prefix.size());
    }
    table.restrictions = find_restrictions(config);
    table.config = std::move(config);
    return table;
}

const route* find_route(
    const route_table& table, std::string_view host, std::string_view target
) {
    const auto found_host = table.by_host.find(without_port(host));
    if (found_host == table.by_host.end()) {
        return nullptr;
    }
    const host_routes& routes = found_host->second;
    std::string_view prefix = path_of(target).substr(0, routes.longest_prefix);
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes.by_prefix.find(prefix.substr(0, slash + 1));
        if (found != routes.by_prefix.end()) {
            return &table.config.routes[found->second];
        }
        prefix = prefix.substr(0, slash);
    }
}

const service_id& choose_service(const route& matched, double draw) {
    double total = 0;
    for (const weighted_service& share : matched.services) {
        total += share.weight;
    }
    double remaining = draw * total;
    for (const weighted_service& share : matched.services) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return matched.services.back().service;
}

} // namespace apricotstile::routing
