// Hosts of the simulation: their clocks, and the start and end of their
// processes.

#include <tests/lease/world_steps.hpp>

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
    world& all, std::uint64_t seed, std::size_t count, std::size_t regions
) {
    all.random.seed(seed);
    if (all.faults.no_drift_margin) {
        all.limits.margin = {};
    }
    all.processes.reserve(count * 20);
    for (std::size_t index = 1; index <= count; ++index) {
        member::member_record wish;
        wish.self.host = host_of(index);
        wish.where = location_of(index, regions);
        process one;
        one.host = wish.self.host;
        one.self = lease::make_participant(wish, all.limits);
        one.random.seed(all.random());
        // Extremes of the drift bound are included because a missing margin
        // shows there.
        constexpr std::int64_t drifts[] = {-10'000, 10'000, 0, 5'000};
        one.drift_ppm = drifts[random_below(all.random, 4)];
        one.dead = true;
        all.processes.push_back(std::move(one));
    }
}

std::size_t start(world& all, std::size_t index) {
    process& one = all.processes[index - 1];
    one.dead = false;
    plan(all, all.now + random_duration(all, all.around.tick), [&all, index] {
        tick_on(all, index - 1);
    });
    return index - 1;
}

process* current(world& all, host_id host) {
    for (process& one : all.processes) {
        if (one.host == host && one.has_address && !one.dead) {
            return &one;
        }
    }
    return nullptr;
}

void send_event(world& all, std::size_t index, const lease::event& what) {
    deliver(all, index, what);
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

void pause(world& all, host_id host, duration length) {
    if (process* one = current(all, host)) {
        one->paused_until = std::max(one->paused_until, all.now + length);
    }
}

void kill(world& all, host_id host) {
    if (process* one = current(all, host)) {
        one->dead = true;
    }
}

namespace {

/// Seeds a fault: a restart that keeps the membership but forgets the promises
/// and consents.
void keep_identity(
    lease::participant& fresh, const lease::participant& former
) {
    fresh = former;
    for (auto& [holder, ward] : fresh.guarding.wards) {
        ward.promised_until = instant::min();
        ward.listed_since = instant::min();
        ward.consented = {};
    }
    fresh.deposing = {};
    fresh.row.read = {};
    fresh.row.must_read = true;
    if (fresh.row.pending) {
        fresh.row.pending->operation = {};
        fresh.row.pending->uncertain = true;
    }
}

} // namespace

void replace(world& all, host_id host, duration frozen) {
    process* former = nullptr;
    for (process& one : all.processes) {
        if (one.host == host && one.has_address) {
            former = &one;
        }
    }
    process fresh;
    fresh.host = host;
    fresh.self = lease::make_participant(former->self.wish, all.limits);
    fresh.self.wish.state = member::member_state::active;
    fresh.self.planner = all.planner;
    fresh.random.seed(all.random());
    fresh.drift_ppm = former->drift_ppm;
    const bool was_member = former->self.stage == lease::phase::joined;
    if (all.faults.guardian_forgets && was_member) {
        keep_identity(fresh.self, former->self);
    }
    if (frozen == duration{} || all.faults.guardian_forgets) {
        former->dead = true;
    } else {
        former->paused_until = std::max(former->paused_until, all.now + frozen);
    }
    former->has_address = false;
    all.processes.push_back(std::move(fresh));
    const std::size_t index = all.processes.size() - 1;
    plan(all, all.now, [&all, index] {
        tick_on(all, index);
    });
}

void set_planner(world& all, host_id planner) {
    all.planner = planner;
    for (std::size_t i = 0; i < all.processes.size(); ++i) {
        deliver(all, i, lease::planner_changed{planner});
    }
}

} // namespace apricotstile::tests
