// State of instances, links and connections for dumps and metrics.

#ifndef APRICOTSTILE_UPSTREAM_UPSTREAM_SNAPSHOT_HPP
#define APRICOTSTILE_UPSTREAM_UPSTREAM_SNAPSHOT_HPP

#include <apricotstile/upstream/connection_monitor.hpp>
#include <apricotstile/upstream/load_balancer.hpp>

#include <vector>

namespace apricotstile::upstream {

struct instance_line {
    service_id service;
    host_id host;
    locality_tier locality{locality_tier::other_region};
    std::uint32_t in_flight{0};
    std::uint32_t slots{0};
    duration mean_latency{0};
    double success_rate{1};
    double reported_load{0};
    /// Remaining ejection time; zero if not ejected.
    duration ejected_for{0};
    bool draining{false};
};

struct link_line {
    region_id region;
    std::uint64_t bytes{0};
    std::int64_t bytes_available{0};
    std::uint64_t refusals{0};
};

struct load_balancer_snapshot {
    std::vector<instance_line> instances;
    std::vector<link_line> links;
    std::uint64_t ejections{0};
    std::uint64_t ejections_withheld{0};
};

[[nodiscard]] load_balancer_snapshot
describe(const load_balancer& state, instant now);

struct connection_monitor_snapshot {
    std::size_t connections{0};
    /// Being probed or in the grace period after an answered probe.
    std::size_t suspected{0};
    std::size_t pending_exchanges{0};
    connection_monitor_counters counters;
};

[[nodiscard]] connection_monitor_snapshot
describe(const connection_monitor& state);

} // namespace apricotstile::upstream

#endif
