// Shares of the services that requests originate from.

#include <apricotstile/serving/caller_origins.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

/// Requests that a route needs before it is classified.
constexpr double min_route_requests = 30;
/// Counts are halved at this total, so that a change of origins shows.
constexpr double max_total = 1000;
/// A service with at least this fraction of all requests has callers on its
/// hosts.
constexpr double common_origin_fraction = 0.1;
/// A route with less than this fraction from such a service isn't used by
/// callers there.
constexpr double absent_origin_fraction = 0.02;
/// Limits memory; requests of further routes aren't counted.
constexpr std::size_t max_routes = 4096;

void count(origin_counts& counts, const service_id& service) {
    ++counts.by_service[service];
    ++counts.total;
    if (counts.total >= max_total) {
        counts.total /= 2;
        for (auto& [name, one] : counts.by_service) {
            one /= 2;
        }
    }
}

double fraction_from(const origin_counts& counts, const service_id& service) {
    const auto found = counts.by_service.find(service);
    return found == counts.by_service.end() ? 0 : found->second / counts.total;
}

} // namespace

void note_origin(
    caller_origins& origins, std::uint32_t route, const service_id& service
) {
    count(origins.all, service);
    if (origins.by_route.size() < max_routes ||
        origins.by_route.contains(route)) {
        count(origins.by_route[route], service);
    }
}

bool is_nested(const caller_origins& origins, std::uint32_t route) {
    const auto found = origins.by_route.find(route);
    if (found == origins.by_route.end() ||
        found->second.total < min_route_requests) {
        return false;
    }
    return std::any_of(
        origins.all.by_service.begin(),
        origins.all.by_service.end(),
        [&](const auto& one) {
            return fraction_from(origins.all, one.first) >=
                       common_origin_fraction &&
                   fraction_from(found->second, one.first) <
                       absent_origin_fraction;
        }
    );
}

} // namespace apricotstile::serving
