// State of one instance of an unsharded service, as observed by this daemon.

#ifndef APRICOTSTILE_UPSTREAM_INSTANCE_HPP
#define APRICOTSTILE_UPSTREAM_INSTANCE_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/host/location.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Locality of an instance relative to this daemon, nearest first.
enum class locality_tier : std::uint8_t {
    failure_domain,
    region,
    other_region
};

struct instance {
    host_id host;
    location where;
    locality_tier locality{locality_tier::other_region};
    std::uint32_t slots{1};
    bool draining{false};
    /// Requests sent by this daemon that have not ended.
    std::uint32_t in_flight{0};
    /// Moving average over answered requests; zero until the first answer.
    duration mean_latency{0};
    instant latency_updated_at;
    /// Moving average of the share of requests that were answered, and the
    /// number of outcomes recorded since the last ejection.
    double success_rate{1};
    std::uint32_t outcome_count{0};
    instant warm_up_start;
    instant saturated_until;
    instant ejected_until;
    std::uint32_t ejections{0};
    /// Load from the instance's load endpoint: 0 is idle, 1 is full, higher
    /// is overloaded. It may be stale or wrong.
    double reported_load{0};
};

} // namespace apricotstile::upstream

#endif
