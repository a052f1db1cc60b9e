// Builds snapshots of instances, links and connections.

#include <apricotstile/upstream/upstream_snapshot.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

instance_line
line_of(const service_id& service, const instance& one, instant now) {
    instance_line line;
    line.service = service;
    line.host = one.host;
    line.locality = one.locality;
    line.in_flight = one.in_flight;
    line.slots = one.slots;
    line.mean_latency = one.mean_latency;
    line.success_rate = one.success_rate;
    line.reported_load = one.reported_load;
    line.ejected_for = std::max(duration{0}, one.ejected_until - now);
    line.draining = one.draining;
    return line;
}

} // namespace

load_balancer_snapshot describe(const load_balancer& state, instant now) {
    load_balancer_snapshot result;
    for (const auto& [service, current] : state.services) {
        for (const instance& one : current.instances) {
            result.instances.push_back(line_of(service, one, now));
        }
    }
    for (const auto& [region, link] : state.links) {
        result.links.push_back(
            {region, link.bytes, link.available, link.refusals}
        );
    }
    result.ejections = state.ejections;
    result.ejections_withheld = state.ejections_withheld;
    return result;
}

connection_monitor_snapshot describe(const connection_monitor& state) {
    connection_monitor_snapshot result;
    result.connections = state.connections.size();
    for (const auto& [id, one] : state.connections) {
        result.suspected += one.state != connection_state::healthy ? 1 : 0;
        result.pending_exchanges += one.pending.size();
    }
    result.counters = state.counters;
    return result;
}

} // namespace apricotstile::upstream
