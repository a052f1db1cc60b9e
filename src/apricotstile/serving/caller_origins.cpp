// Compares the origins of a route's requests with those of callers' requests.

#include <apricotstile/serving/caller_origins.hpp>

namespace apricotstile::serving {

namespace {

/// Requests that a route needs before it is classified as one of callers.
constexpr double min_route_requests = 30;
/// Counts are halved at this total, so that a change of origins shows.
constexpr double max_total = 1000;
/// A service is absent from a route if it sends less than this fraction of what
/// callers on its hosts would send.
constexpr double absent_fraction = 0.1;
/// A route is nested once callers would have sent this many requests from the
/// absent services: by chance none of them comes in one of 160,000 cases.
constexpr double min_missing_requests = 12;
/// Services with a smaller share of the hosts in total may be absent by chance.
constexpr double negligible_share = 0.05;
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

/// The share of the hosts whose services send no requests of a route.
double absent_share(
    const std::map<service_id, double>& host_shares, const origin_counts& counts
) {
    double result = 0;
    for (const auto& [service, share] : host_shares) {
        const auto seen = counts.by_service.find(service);
        const double requests =
            seen == counts.by_service.end() ? 0 : seen->second;
        if (requests < absent_fraction * share * counts.total) {
            result += share;
        }
    }
    return result;
}

} // namespace

void set_host_counts(
    caller_origins& origins, const std::map<service_id, std::size_t>& hosts
) {
    std::size_t total = 0;
    for (const auto& [service, number] : hosts) {
        total += number;
    }
    origins.host_shares.clear();
    for (const auto& [service, number] : hosts) {
        origins.host_shares[service] =
            static_cast<double>(number) / static_cast<double>(total);
    }
}

void note_origin(
    caller_origins& origins, std::uint32_t route, const service_id& service
) {
    if (origins.by_route.size() < max_routes ||
        origins.by_route.contains(route)) {
        count(origins.by_route[route], service);
    }
}

request_origin origin_of(const caller_origins& origins, std::uint32_t route) {
    const auto found = origins.by_route.find(route);
    if (found == origins.by_route.end()) {
        return request_origin::unknown;
    }
    const origin_counts& counts = found->second;
    const double absent = absent_share(origins.host_shares, counts);
    if (absent * counts.total >= min_missing_requests) {
        return request_origin::nested;
    }
    const bool is_certain =
        counts.total >= min_route_requests && absent < negligible_share;
    return is_certain ? request_origin::callers : request_origin::unknown;
}

} // namespace apricotstile::serving
