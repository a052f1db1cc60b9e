// The operators' configuration of routes, services and limits for callers,
// independent of the format that a deployment stores it in.

#ifndef APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP
#define APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/routing/grant_method.hpp>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotstile::routing {

/// Increases with each configuration that takes effect; zero means "none yet".
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// A service with its share of a route's requests.
struct weighted_service {
    service_id service;
    /// Relative to the other weights of the route; greater than zero.
    double weight{1};
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with '/'.
    std::string prefix;
    /// Whether a request may be executed more than once.
    bool idempotent{false};
    /// Maximum time until the caller gets a response.
    duration timeout{0};
    /// Response time to aim for; a later response is of less use to its caller.
    duration target_latency{0};
    /// Zero is the highest priority.
    std::uint32_t priority{0};
    /// Maximum number of upstream instances that one request may be sent to.
    std::uint32_t max_instances{1};
    /// At least one.
    std::vector<weighted_service> services;
    /// The regions whose instances may serve the route's requests; all if it is
    /// empty.
    std::vector<region_id> allowed_regions;
};

struct service_config {
    std::string health_check_path;
    /// Maximum connections that one instance accepts from all callers in total.
    std::uint32_t max_connections{0};
    /// Whether each request has a key, which one instance owns exclusively.
    bool keyed{false};
    /// If it is keyed: how instances get their keys.
    grant_method grants{grant_method::heartbeat};
    /// How long requests for a key are slow after a change of its owner without
    /// a handover by the previous one.
    duration warm_up_time{0};
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
    std::uint32_t header_bytes{16U << 10U};
    std::uint64_t body_bytes{1U << 20U};
    duration header_timeout{std::chrono::seconds{10}};
    duration idle_timeout{std::chrono::seconds{60}};
};

struct routing_config {
    config_version version;
    std::vector<route> routes;
    std::unordered_map<service_id, service_config> services;
    caller_limits limits;
};

template <class Archive>
void serialize(Archive& archive, weighted_service& value) {
    archive(value.service, value.weight);
}

template <class Archive>
void serialize(Archive& archive, route& value) {
    archive(value.name, value.host, value.prefix, value.idempotent);
    archive(value.timeout, value.target_latency, value.priority);
    archive(value.max_instances, value.services);
}

template <class Archive>
void serialize(Archive& archive, service_config& value) {
    archive(value.health_check_path, value.max_connections);
    archive(value.keyed, value.grants, value.warm_up_time);
}

template <class Archive>
void serialize(Archive& archive, caller_limits& value) {
    archive(value.header_bytes, value.body_bytes);
    archive(value.header_timeout, value.idle_timeout);
}

template <class Archive>
void serialize(Archive& archive, routing_config& value) {
    archive(value.version, value.routes, value.services, value.limits);
}

/// The allowed regions of the route with this index in its configuration.
struct indexed_regions {
    std::uint32_t route_index{0};
    std::vector<region_id> regions;
};

template <class Archive>
void serialize(Archive& archive, indexed_regions& value) {
    archive(value.route_index, value.regions);
}

[[nodiscard]] inline bool has_restricted_routes(const routing_config& config) {
    return std::any_of(
        config.routes.begin(),
        config.routes.end(),
        [](const route& one) {
            return !one.allowed_regions.empty();
        }
    );
}

/// Encodes or decodes the routes' allowed regions, which `serialize` leaves
/// out. They follow it only in a configuration that has some.
template <class Archive>
void serialize_allowed_regions(Archive& archive, routing_config& config) {
    std::vector<indexed_regions> restricted;
    if constexpr (Archive::is_saving::value) {
        for (std::size_t index = 0; index < config.routes.size(); ++index) {
            const route& one = config.routes[index];
            if (!one.allowed_regions.empty()) {
                restricted.push_back(
                    {static_cast<std::uint32_t>(index), one.allowed_regions}
                );
            }
        }
    }
    archive(restricted);
    if constexpr (Archive::is_loading::value) {
        for (indexed_regions& one : restricted) {
            if (one.route_index >= config.routes.size()) {
                throw std::out_of_range{"restricted route doesn't exist"};
            }
            config.routes[one.route_index].allowed_regions =
                std::move(one.regions);
        }
    }
}

} // namespace apricotstile::routing

#endif
