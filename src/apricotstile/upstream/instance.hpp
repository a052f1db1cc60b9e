// One instance of a service that isn't divided by key, as this daemon has
// come to know it.

#ifndef APRICOTSTILE_UPSTREAM_INSTANCE_HPP
#define APRICOTSTILE_UPSTREAM_INSTANCE_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/host/location.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// How near an instance is to this daemon.
enum class nearness : std::uint8_t { failure_domain, region, other_region };

struct instance {
    host_id host;
    location where;
    nearness distance{nearness::other_region};
    std::uint32_t slots{1};
    bool draining{false};
    /// Requests that this daemon has sent and that have not ended.
    std::uint32_t in_flight{0};
    /// Moving mean over answers; zero until the first.
    duration mean_latency{0};
    instant latency_seen;
    /// Moving share of sends that were answered, and how many made it.
    double success{1};
    std::uint32_t outcomes{0};
    instant warm_since;
    instant saturated_until;
    instant ejected_until;
    std::uint32_t ejections{0};
    /// What its load endpoint says, 0 to 1 and above; it may lag or be wrong.
    double reported_load{0};
};

} // namespace apricotstile::upstream

#endif
