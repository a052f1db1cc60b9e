// The operators' configuration of routes, services and limits for callers,
// independent of the format that a deployment stores it in.

#ifndef APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP
#define APRICOTSTILE_ROUTING_ROUTING_CONFIG_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/routing/grant_method.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
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
    /// How long an instance is cold after its start.
    duration cold_start_time{0};
    /// Requests a second that a cold instance tolerates; zero if it has no
    /// limit.
    double cold_per_second{0};
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

/// Fields that only some deployments have follow the others, each kind of them
/// as a number and its bytes. So a configuration without such fields has no
/// more bytes than before there were any, and unknown kinds are skipped.
enum class config_extension : std::uint8_t {
    cold_services = 1,
    restricted_routes
};

/// The fields of a service that has a limit for cold instances.
struct cold_service {
    duration start_time{0};
    double per_second{0};
};

template <class Archive>
void serialize(Archive& archive, cold_service& value) {
    archive(value.start_time, value.per_second);
}

/// Allowed regions by the index of the route in its configuration.
using restricted_routes = std::map<std::uint32_t, std::vector<region_id>>;

[[nodiscard]] inline restricted_routes
find_restricted_routes(const routing_config& config) {
    restricted_routes result;
    for (std::uint32_t index = 0; index < config.routes.size(); ++index) {
        const route& one = config.routes[index];
        if (!one.allowed_regions.empty()) {
            result[index] = one.allowed_regions;
        }
    }
    return result;
}

/// Throws `std::out_of_range` if there is no such route.
inline void
restrict_routes(routing_config& config, const restricted_routes& restricted) {
    for (const auto& [index, regions] : restricted) {
        config.routes.at(index).allowed_regions = regions;
    }
}

template <class Archive>
void save_extensions(Archive& archive, const routing_config& value) {
    std::map<service_id, cold_service> cold;
    for (const auto& [service, one] : value.services) {
        if (one.cold_start_time != duration{0} || one.cold_per_second != 0) {
            cold[service] = {one.cold_start_time, one.cold_per_second};
        }
    }
    if (!cold.empty()) {
        archive(config_extension::cold_services, encode(cold));
    }
    const restricted_routes restricted = find_restricted_routes(value);
    if (!restricted.empty()) {
        archive(config_extension::restricted_routes, encode(restricted));
    }
}

/// The kind of the next extension; nothing at the end of the bytes.
template <class Archive>
std::optional<config_extension> next_extension(Archive& archive) {
    try {
        config_extension result{};
        archive(result);
        return result;
    } catch (const cereal::Exception&) {
        return std::nullopt;
    }
}

template <class Archive>
void load_extensions(Archive& archive, routing_config& value) {
    while (const auto kind = next_extension(archive)) {
        std::string bytes;
        archive(bytes);
        if (*kind == config_extension::restricted_routes) {
            restrict_routes(value, decode<restricted_routes>(bytes));
        }
        if (*kind != config_extension::cold_services) {
            continue;
        }
        const auto cold = decode<std::map<service_id, cold_service>>(bytes);
        for (const auto& [service, one] : cold) {
            const auto found = value.services.find(service);
            if (found != value.services.end()) {
                found->second.cold_start_time = one.start_time;
                found->second.cold_per_second = one.per_second;
            }
        }
    }
}

/// The last value of whatever contains it, as it ends with its extensions.
template <class Archive>
void serialize(Archive& archive, routing_config& value) {
    archive(value.version, value.routes, value.services, value.limits);
    if constexpr (Archive::is_saving::value) {
        save_extensions(archive, value);
    } else {
        load_extensions(archive, value);
    }
}

} // namespace apricotstile::routing

#endif
