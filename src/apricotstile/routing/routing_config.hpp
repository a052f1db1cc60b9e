// The operators' configuration of routes and services, in the product's terms.

#ifndef APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP
#define APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotstile::routing {

/// Rises with each configuration that is put in force; zero means "none yet".
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// A service with its part of a route's requests.
struct service_share {
    service_id service;
    /// Relative to the other shares of the route; above zero.
    double weight{1};
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with '/'.
    std::string prefix;
    /// Whether a request may run more than once.
    bool idempotent{false};
    /// How long a caller may be kept waiting.
    duration timeout{0};
    /// Within this time a response is of full use to its caller.
    duration target_latency{0};
    /// Zero is the most urgent.
    std::uint32_t priority{0};
    /// Upstream instances that one request may be sent to.
    std::uint32_t max_instances{1};
    /// At least one.
    std::vector<service_share> services;
};

struct service_settings {
    std::string health_check_path;
    /// Connections that one instance accepts from all callers together.
    std::uint32_t max_connections{0};
    /// Whether each request carries a key that one instance holds.
    bool keyed{false};
    /// How long keys are slow that come without their last holder's hand-over.
    duration warm_up{0};
};

/// What callers may send, and how slowly.
struct caller_limits {
    std::uint32_t header_bytes{16U << 10U};
    std::uint64_t body_bytes{1U << 20U};
    duration header_timeout{std::chrono::seconds{10}};
    duration idle_timeout{std::chrono::seconds{60}};
};

struct routing_config {
    config_version version;
    std::vector<route> routes;
    std::unordered_map<service_id, service_settings> services;
    caller_limits limits;
};

template <class Archive>
void serialize(Archive& archive, service_share& value) {
    archive(value.service, value.weight);
}

template <class Archive>
void serialize(Archive& archive, route& value) {
    archive(value.name, value.host, value.prefix, value.idempotent);
    archive(value.timeout, value.target_latency, value.priority);
    archive(value.max_instances, value.services);
}

template <class Archive>
void serialize(Archive& archive, service_settings& value) {
    archive(value.health_check_path, value.max_connections);
    archive(value.keyed, value.warm_up);
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

} // namespace apricotstile::routing

#endif
