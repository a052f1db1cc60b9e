// Load balancing for unsharded services: prefers near instances and takes the
// better of two random ones (power of two choices), by observed outcomes.

#ifndef APRICOTSTILE_UPSTREAM_LOAD_BALANCER_HPP
#define APRICOTSTILE_UPSTREAM_LOAD_BALANCER_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/request/outcome.hpp>
#include <apricotstile/upstream/instance.hpp>
#include <apricotstile/upstream/link_budget.hpp>
#include <apricotstile/upstream/load_balancer_policy.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotstile::upstream {

struct service_instances {
    /// Sorted by locality, nearest first.
    std::vector<instance> instances;
    /// Moving average of the bytes of a request and its response together.
    std::int64_t mean_bytes{0};
};

struct load_balancer {
    load_balancer_policy policy;
    location self;
    std::map<service_id, service_instances> services;
    /// Traffic budget for each other region.
    std::map<region_id, link_budget> links;
    std::uint64_t ejections{0};
    std::uint64_t ejections_withheld{0};
};

/// An instance as reported by membership.
struct known_instance {
    host_id host;
    location where;
    std::uint32_t slots{1};
    bool draining{false};
};

struct load_balancer_choice {
    /// Zero if no instance can take the request.
    host_id host;
    /// Set if `host` is zero.
    request::refusal refusal{request::refusal::none};
    duration retry_after{0};
};

/// Result of a request, as far as it says something about the instance.
enum class send_result : std::uint8_t {
    answered,
    /// Refused because of overload; not counted as a failure.
    shed,
    /// No answer, a broken connection or a server error.
    failed,
    /// Abandoned for a reason that is not the instance's fault.
    abandoned
};

/// Replaces the instances of `service`. The statistics of instances that remain
/// are kept; new instances begin their warm-up.
void set_instances(
    load_balancer& state,
    const service_id& service,
    const std::vector<known_instance>& known,
    instant now
);

/// Chooses the instance for a request and counts the request as in flight
/// there. `avoid` is chosen only if no other instance is eligible; zero avoids
/// none.
[[nodiscard]] load_balancer_choice pick_instance(
    load_balancer& state,
    const service_id& service,
    host_id avoid,
    random_source& random,
    instant now
);

/// How a request ended that `pick_instance` has counted as in flight.
struct send_end {
    send_result result{send_result::answered};
    duration latency{0};
    /// Transferred bytes of the request and its response.
    std::uint64_t bytes{0};
    /// With `shed`: time after which the instance accepts requests again.
    duration retry_after{0};
};

void note_end(
    load_balancer& state,
    const service_id& service,
    host_id host,
    const send_end& end,
    instant now
);

/// Records the load from an instance's load endpoint. It is only a hint, which
/// raises the score by a quarter at most.
void note_reported_load(
    load_balancer& state, const service_id& service, host_id host, double load
);

/// Number of instances of `service` that are ejected at `now`.
[[nodiscard]] std::size_t
count_ejected(const service_instances& service, instant now);

} // namespace apricotstile::upstream

#endif
