// Choice of the instance for a request of a service that isn't divided by
// key: near first, the better of two random ones, by observed outcomes.

#ifndef APRICOTSTILE_UPSTREAM_CHOOSER_HPP
#define APRICOTSTILE_UPSTREAM_CHOOSER_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/request/outcome.hpp>
#include <apricotstile/upstream/chooser_policy.hpp>
#include <apricotstile/upstream/instance.hpp>
#include <apricotstile/upstream/link_budget.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotstile::upstream {

struct service_instances {
    /// Nearest first.
    std::vector<instance> instances;
    /// Moving mean of request and response bytes together.
    std::int64_t mean_bytes{0};
};

struct chooser {
    chooser_policy policy;
    location self;
    std::map<service_id, service_instances> services;
    /// For each other region.
    std::map<region_id, link_budget> links;
    std::uint64_t ejections{0};
    std::uint64_t ejections_withheld{0};
};

/// An instance as membership shows it.
struct known_instance {
    host_id host;
    location where;
    std::uint32_t slots{1};
    bool draining{false};
};

struct choice {
    /// Zero when every instance is saturated or out of reach.
    host_id host;
    /// Why there is none.
    request::refusal refusal{request::refusal::none};
    duration retry_after{0};
};

/// How a send has ended, for the chooser.
enum class send_result : std::uint8_t {
    answered,
    /// Refused for load; no sign of a fault.
    shed,
    /// No answer, a broken connection, or an answer that is a server error.
    failed,
    /// Given up for a reason that isn't the instance's.
    abandoned
};

/// Replaces the instances of `service`, keeping what is known of those that
/// stay. New ones start cold.
void set_instances(
    chooser& state,
    const service_id& service,
    const std::vector<known_instance>& known,
    instant now
);

/// Chooses where to send, and counts the request as in flight there. `avoid`
/// is taken only when there is no other; zero for none.
[[nodiscard]] choice choose(
    chooser& state,
    const service_id& service,
    host_id avoid,
    random_source& random,
    instant now
);

/// What became of a request that `choose` placed on `host`.
struct send_end {
    send_result result{send_result::answered};
    duration latency{0};
    /// Of request and response, as far as they were transferred.
    std::uint64_t bytes{0};
    /// With `shed`: when the instance wants work again.
    duration retry_after{0};
};

void note_end(
    chooser& state,
    const service_id& service,
    host_id host,
    const send_end& end,
    instant now
);

/// Takes what an instance's load endpoint says; a hint and no more.
void note_reported_load(
    chooser& state, const service_id& service, host_id host, double load
);

/// How many instances of `service` are ejected now.
[[nodiscard]] std::size_t
count_ejected(const service_instances& service, instant now);

} // namespace apricotstile::upstream

#endif
