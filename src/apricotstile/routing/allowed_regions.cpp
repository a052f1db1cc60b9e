// Intersects the restrictions of routes.

#include <apricotstile/routing/allowed_regions.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <iterator>

namespace apricotstile::routing {

void restrict_to(region_set& set, std::vector<region_id> list) {
    if (list.empty()) {
        return;
    }
    std::sort(list.begin(), list.end());
    if (!set.restricted) {
        set = {true, std::move(list)};
        return;
    }
    std::vector<region_id> both;
    std::set_intersection(
        set.regions.begin(),
        set.regions.end(),
        list.begin(),
        list.end(),
        std::back_inserter(both)
    );
    set.regions = std::move(both);
}

bool is_allowed(const region_set& set, const region_id& region) {
    return !set.restricted ||
           std::binary_search(set.regions.begin(), set.regions.end(), region);
}

region_restrictions find_restrictions(const routing_config& config) {
    region_restrictions result;
    for (const route& one : config.routes) {
        if (one.allowed_regions.empty()) {
            continue;
        }
        ++result.restricted_routes;
        restrict_to(result.routes[name_hash(one.name)], one.allowed_regions);
        for (const weighted_service& target : one.services) {
            restrict_to(result.services[target.service], one.allowed_regions);
        }
    }
    return result;
}

bool may_serve(
    const region_restrictions& restrictions,
    const restricted_request& request,
    const region_id& region
) {
    const auto found = restrictions.routes.find(request.route_hash);
    if (found == restrictions.routes.end()) {
        return true;
    }
    if (!is_allowed(found->second, region)) {
        return false;
    }
    if (!request.keyed) {
        return true;
    }
    const auto owners = restrictions.services.find(request.service);
    return owners == restrictions.services.end() ||
           !owners->second.regions.empty();
}

bool may_own_keys(
    const region_restrictions& restrictions,
    const service_id& service,
    const region_id& region
) {
    const auto found = restrictions.services.find(service);
    return found == restrictions.services.end() ||
           found->second.regions.empty() || is_allowed(found->second, region);
}

namespace {

bool allows_any(const region_set& set, const std::set<region_id>& regions) {
    return std::any_of(
        regions.begin(),
        regions.end(),
        [&](const region_id& one) {
            return is_allowed(set, one);
        }
    );
}

} // namespace

unserved_parts find_unserved_parts(
    const routing_config& config,
    const std::map<service_id, std::set<region_id>>& service_regions
) {
    unserved_parts result;
    for (const route& one : config.routes) {
        region_set allowed;
        restrict_to(allowed, one.allowed_regions);
        for (const weighted_service& target : one.services) {
            const auto regions = service_regions.find(target.service);
            if (allowed.restricted && regions != service_regions.end() &&
                !allows_any(allowed, regions->second)) {
                result.routes.emplace_back(one.name, target.service);
            }
        }
    }
    const region_restrictions restrictions = find_restrictions(config);
    for (const auto& [service, allowed] : restrictions.services) {
        const auto known = config.services.find(service);
        if (known == config.services.end() || !known->second.keyed) {
            continue;
        }
        const auto regions = service_regions.find(service);
        if (allowed.regions.empty() ||
            (regions != service_regions.end() &&
             !allows_any(allowed, regions->second))) {
            result.services.push_back(service);
        }
    }
    std::sort(result.services.begin(), result.services.end());
    return result;
}

} // namespace apricotstile::routing
