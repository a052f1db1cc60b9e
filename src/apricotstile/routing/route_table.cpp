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
        table.by_host[config.routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : table.by_host) {
        std::stable_sort(
            indices.begin(),
            indices.end(),
            [&](std::size_t left, std::size_t right) {
                return config.routes[left].prefix.size() >
                       config.routes[right].prefix.size();
            }
        );
    }
    table.restrictions = find_restrictions(config);
    table.config = std::move(config);
    return table;
}

const route* find_route(
    const route_table& table, std::string_view host, std::string_view target
) {
    const auto found = table.by_host.find(std::string{without_port(host)});
    if (found == table.by_host.end()) {
        return nullptr;
    }
    const std::string_view path = path_of(target);
    for (const std::size_t index : found->second) {
        const route& candidate = table.config.routes[index];
        if (path.substr(0, candidate.prefix.size()) == candidate.prefix) {
            return &candidate;
        }
    }
    return nullptr;
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
