// Hosts of the simulation: their clocks, and the start and end of their
// processes.

#include <tests/lease/simulation_steps.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::tests {

host_id host_of(std::size_t index) {
    return host_id{index};
}

location location_of(std::size_t index, std::size_t regions) {
    const std::size_t region = index % regions;
    const std::size_t domain = index / regions % 2;
    return {
        region_id{fmt::format("region-{}", region)},
        failure_domain_id{fmt::format("region-{}-{}", region, domain)}};
}

void make_hosts(
    simulation& sim, std::uint64_t seed, std::size_t count, std::size_t regions
) {
    sim.random.seed(seed);
    if (sim.faults.no_drift_margin) {
        sim.limits.margin = {};
    }
    sim.processes.reserve(count * 20);
    for (std::size_t index = 1; index <= count; ++index) {
        member::member_record desired;
        desired.self.host = host_of(index);
        desired.where = location_of(index, regions);
        process one;
        one.host = desired.self.host;
        one.self = lease::make_participant(desired, sim.limits);
        one.random.seed(sim.random());
        // Extremes of the drift bound are included because a missing margin
        // shows there.
        constexpr std::int64_t drifts[] = {-10'000, 10'000, 0, 5'000};
        one.drift_ppm = drifts[random_below(sim.random, 4)];
        one.dead = true;
        sim.processes.push_back(std::move(one));
    }
}

std::size_t start(simulation& sim, std::size_t index) {
    process& one = sim.processes[index - 1];
    one.dead = false;
    schedule_event(
        sim,
        sim.now + random_duration(sim, sim.environment.tick),
        [&sim, index] {
            run_ticks(sim, index - 1);
        }
    );
    return index - 1;
}

process* current_process(simulation& sim, host_id host) {
    for (process& one : sim.processes) {
        if (one.host == host && one.has_address && !one.dead) {
            return &one;
        }
    }
    return nullptr;
}

void send_event(simulation& sim, std::size_t index, const lease::event& event) {
    deliver(sim, index, event);
}

instant local_time(const process& one, true_time when) {
    constexpr std::int64_t million = 1'000'000;
    // Each host's clock starts at a different value.
    const duration base = std::chrono::hours{one.host.value + 1};
    const std::int64_t gained = when.count() / million * one.drift_ppm;
    return instant{base + when + duration{gained}};
}

bool has_lease(const process& one, true_time when) {
    return local_time(one, when) < lease::lease_valid_until(one.self);
}

void pause_process(simulation& sim, host_id host, duration length) {
    if (process* one = current_process(sim, host)) {
        one->paused_until = std::max(one->paused_until, sim.now + length);
    }
}

void kill_process(simulation& sim, host_id host) {
    if (process* one = current_process(sim, host)) {
        one->dead = true;
    }
}

namespace {

/// Seeds a fault: a restart that keeps the membership but forgets the promises
/// and consents.
void keep_incarnation(
    lease::participant& fresh, const lease::participant& former
) {
    fresh = former;
    for (auto& [holder, known] : fresh.guardian.holders) {
        known.promised_until = instant::min();
        known.listed_since = instant::min();
        known.consented = {};
    }
    fresh.depositions = {};
    fresh.row.read = {};
    fresh.row.must_read = true;
    if (fresh.row.pending) {
        fresh.row.pending->operation = {};
        fresh.row.pending->uncertain = true;
    }
}

} // namespace

void replace_process(simulation& sim, host_id host, duration frozen) {
    process* former = nullptr;
    for (process& one : sim.processes) {
        if (one.host == host && one.has_address) {
            former = &one;
        }
    }
    process fresh;
    fresh.host = host;
    fresh.self = lease::make_participant(former->self.desired, sim.limits);
    fresh.self.desired.state = member::member_state::active;
    fresh.self.planner = sim.planner;
    fresh.random.seed(sim.random());
    fresh.drift_ppm = former->drift_ppm;
    const bool was_member = former->self.stage == lease::phase::joined;
    if (sim.faults.guardian_forgets && was_member) {
        keep_incarnation(fresh.self, former->self);
    }
    if (frozen == duration{} || sim.faults.guardian_forgets) {
        former->dead = true;
    } else {
        former->paused_until = std::max(former->paused_until, sim.now + frozen);
    }
    former->has_address = false;
    sim.processes.push_back(std::move(fresh));
    const std::size_t index = sim.processes.size() - 1;
    schedule_event(sim, sim.now, [&sim, index] {
        run_ticks(sim, index);
    });
}

void set_planner(simulation& sim, host_id planner) {
    sim.planner = planner;
    for (std::size_t i = 0; i < sim.processes.size(); ++i) {
        deliver(sim, i, lease::planner_changed{planner});
    }
}

} // namespace apricotstile::tests
