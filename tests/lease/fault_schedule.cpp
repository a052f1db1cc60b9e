// Injects the faults of a schedule and checks the state after them.

#include <tests/lease/fault_schedule.hpp>

#include <fmt/format.h>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr true_time faults_begin = 5s;
constexpr duration fault_window = 9s;
constexpr true_time faults_end = 16s;
constexpr true_time recovery_deadline = 28s;
constexpr duration deposition_bound = 1500ms;

struct host_layout {
    std::size_t count{0};
    std::size_t regions{0};
};

duration between(simulation& sim, duration least, duration most) {
    const auto bound = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least +
           duration{
               static_cast<duration::rep>(random_below(sim.random, bound))};
}

host_id random_host(simulation& sim, const host_layout& layout) {
    return host_of(1 + random_below(sim.random, layout.count));
}

/// Cuts the network in both directions, or in one only, between `inside` and
/// all other hosts, with or without the store.
void cut_off(
    simulation& sim, const host_layout& layout, const std::set<host_id>& inside
) {
    const std::uint64_t direction = random_below(sim.random, 4);
    const bool cuts_store = random_below(sim.random, 2) == 0;
    for (std::size_t index = cuts_store ? 0 : 1; index <= layout.count;
         ++index) {
        const host_id outside = host_of(index);
        if (inside.contains(outside)) {
            continue;
        }
        for (const host_id one : inside) {
            if (direction != 0) {
                sim.cut.insert({one, outside});
            }
            if (direction != 1) {
                sim.cut.insert({outside, one});
            }
        }
    }
}

/// Returns a random host, failure domain or region.
std::set<host_id> random_group(simulation& sim, const host_layout& layout) {
    const host_id center = random_host(sim, layout);
    const location where = location_of(center.value, layout.regions);
    const std::uint64_t extent = random_below(sim.random, 3);
    std::set<host_id> group{center};
    for (std::size_t index = 1; index <= layout.count; ++index) {
        const location other = location_of(index, layout.regions);
        if ((extent == 1 && other == where) ||
            (extent == 2 && other.region == where.region)) {
            group.insert(host_of(index));
        }
    }
    return group;
}

void schedule_after(
    simulation& sim, duration length, std::function<void()> run
) {
    schedule_event(sim, sim.now + length, std::move(run));
}

void partition(simulation& sim, const host_layout& layout) {
    cut_off(sim, layout, random_group(sim, layout));
    schedule_after(sim, between(sim, 300ms, 6s), [&sim] {
        sim.cut.clear();
    });
}

void cut_store(simulation& sim, const host_layout& layout) {
    const host_id one = random_host(sim, layout);
    const bool answers_only = random_below(sim.random, 2) == 0;
    sim.cut.insert({host_id{}, one});
    if (!answers_only) {
        sim.cut.insert({one, host_id{}});
    }
    schedule_after(sim, between(sim, 300ms, 5s), [&sim, one] {
        sim.cut.erase({host_id{}, one});
        sim.cut.erase({one, host_id{}});
    });
}

void store_outage(simulation& sim) {
    sim.table.down = true;
    schedule_after(sim, between(sim, 200ms, 6s), [&sim] {
        sim.table.down = false;
    });
}

/// Ends all faults of the network except cut connections.
void end_network_faults(simulation& sim) {
    sim.environment.loss_percent = 0;
    sim.environment.duplicate_percent = 0;
    sim.environment.late_percent = 0;
    sim.environment.lost_answer_percent = 0;
    sim.environment.pause_per_mille = 0;
}

void degrade_network(simulation& sim) {
    const std::uint64_t kind = random_below(sim.random, 5);
    sim.environment.loss_percent = kind == 0 ? 30 : 0;
    sim.environment.duplicate_percent = kind == 1 ? 30 : 0;
    sim.environment.late_percent = kind == 2 ? 20 : 0;
    sim.environment.lost_answer_percent = kind == 3 ? 40 : 0;
    sim.environment.pause_per_mille = kind == 4 ? 10 : 0;
    schedule_after(sim, between(sim, 500ms, 4s), [&sim] {
        end_network_faults(sim);
    });
}

void kill_and_restart(simulation& sim, host_id host) {
    kill_process(sim, host);
    schedule_after(sim, between(sim, 0ns, 5s), [&sim, host] {
        if (current_process(sim, host) == nullptr) {
            replace_process(sim, host, 0ns);
        }
    });
}

void leave(simulation& sim, host_id host) {
    process* one = current_process(sim, host);
    if (one == nullptr) {
        return;
    }
    const auto index = static_cast<std::size_t>(one - sim.processes.data());
    send_event(sim, index, lease::drain_requested{});
    schedule_after(sim, between(sim, 0ns, 2s), [&sim, index] {
        send_event(sim, index, lease::leave_requested{});
    });
    schedule_after(sim, between(sim, 2s, 4s), [&sim, host] {
        replace_process(sim, host, 0ns);
    });
}

void inject_fault(simulation& sim, const host_layout& layout) {
    const host_id host = random_host(sim, layout);
    switch (random_below(sim.random, 10)) {
    case 0:
    case 1:
        pause_process(sim, host, between(sim, 50ms, 4s));
        return;
    case 2:
        kill_and_restart(sim, host);
        return;
    case 3:
        replace_process(sim, host, between(sim, 0ns, 5s));
        return;
    case 4:
        partition(sim, layout);
        return;
    case 5:
        cut_store(sim, layout);
        return;
    case 6:
        store_outage(sim);
        return;
    case 7:
        degrade_network(sim);
        return;
    case 8:
        set_planner(sim, random_host(sim, layout));
        return;
    default:
        leave(sim, host);
        return;
    }
}

void end_all_faults(simulation& sim, const host_layout& layout) {
    end_network_faults(sim);
    sim.cut.clear();
    sim.table.down = false;
    for (std::size_t index = 1; index <= layout.count; ++index) {
        const process* one = current_process(sim, host_of(index));
        if (one == nullptr || one->self.stage == lease::phase::left) {
            replace_process(sim, host_of(index), 0ns);
        }
    }
}

void check_recovery(simulation& sim, const host_layout& layout) {
    for (std::size_t index = 1; index <= layout.count; ++index) {
        const process* one = current_process(sim, host_of(index));
        if (one == nullptr || !has_lease(*one, sim.now)) {
            sim.violation =
                fmt::format("host {} hasn't regained a lease", index);
        }
    }
}

/// Without any other fault, a lost host must be deposed within the bound by the
/// remaining daemons.
void check_loss(simulation& sim, const host_layout& layout) {
    const host_id host = random_host(sim, layout);
    const member::member_ref ref =
        lease::self_ref(current_process(sim, host)->self);
    const true_time lost = sim.now;
    kill_process(sim, host);
    run_until(sim, lost + deposition_bound);
    if (!sim.deposed.contains(ref)) {
        sim.violation =
            fmt::format("lost host {} wasn't deposed in time", host.value);
    }
}

/// Every fifth schedule uses a network and store so fast that only the drift
/// margin keeps a deposition from overlapping the lease.
environment_conditions random_conditions(random_source& shape_random) {
    environment_conditions conditions;
    const std::uint64_t speed = random_below(shape_random, 5);
    conditions.store_latency = speed % 2 == 0 ? 5ms : 50ms;
    if (speed == 0) {
        conditions.min_delay = 100us;
        conditions.max_delay = 300us;
        conditions.store_latency = 1ms;
        conditions.tick = 3ms;
    }
    return conditions;
}

} // namespace

schedule_result run_schedule(std::uint64_t seed, const seeded_faults& faults) {
    simulation sim;
    sim.faults = faults;
    random_source shape_random{seed};
    const host_layout layout{
        3 + random_below(shape_random, 6), 2 + random_below(shape_random, 2)};
    make_hosts(sim, seed, layout.count, layout.regions);
    sim.environment = random_conditions(shape_random);
    for (std::size_t index = 1; index <= layout.count; ++index) {
        start(sim, index);
    }
    set_planner(sim, random_host(sim, layout));
    const std::uint64_t fault_count = 2 + random_below(shape_random, 9);
    for (std::uint64_t i = 0; i < fault_count; ++i) {
        schedule_event(
            sim,
            faults_begin + between(sim, 0ns, fault_window),
            [&] {
                inject_fault(sim, layout);
            }
        );
    }
    run_until(sim, faults_end);
    end_all_faults(sim, layout);
    run_until(sim, recovery_deadline);
    const bool unsafe = !sim.violation.empty();
    if (!unsafe) {
        check_recovery(sim, layout);
    }
    if (sim.violation.empty()) {
        check_loss(sim, layout);
    }
    return {sim.violation, unsafe, sim.deposed.size(), sim.joined.size()};
}

} // namespace apricotstile::tests
