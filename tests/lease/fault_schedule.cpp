// Injects the faults of a schedule and checks the state after them.

#include <tests/lease/fault_schedule.hpp>

#include <fmt/format.h>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr true_time faults_begin = 5s;
constexpr duration faults_last = 9s;
constexpr true_time healed = 16s;
constexpr true_time recovered = 28s;
constexpr duration deposition_bound = 1500ms;

struct hosts {
    std::size_t count{0};
    std::size_t regions{0};
};

duration between(world& all, duration least, duration most) {
    const auto bound = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least +
           duration{
               static_cast<duration::rep>(random_below(all.random, bound))};
}

host_id any_host(world& all, const hosts& there) {
    return host_of(1 + random_below(all.random, there.count));
}

/// Cuts the network in both directions, or in one only, between `inside` and
/// all other hosts, with or without the store.
void cut_off(world& all, const hosts& there, const std::set<host_id>& inside) {
    const std::uint64_t way = random_below(all.random, 4);
    const bool cuts_store = random_below(all.random, 2) == 0;
    for (std::size_t index = cuts_store ? 0 : 1; index <= there.count;
         ++index) {
        const host_id outside = host_of(index);
        if (inside.contains(outside)) {
            continue;
        }
        for (const host_id one : inside) {
            if (way != 0) {
                all.cut.insert({one, outside});
            }
            if (way != 1) {
                all.cut.insert({outside, one});
            }
        }
    }
}

/// Returns a random host, failure domain or region.
std::set<host_id> any_group(world& all, const hosts& there) {
    const host_id center = any_host(all, there);
    const location where = location_of(center.value, there.regions);
    const std::uint64_t extent = random_below(all.random, 3);
    std::set<host_id> group{center};
    for (std::size_t index = 1; index <= there.count; ++index) {
        const location other = location_of(index, there.regions);
        if ((extent == 1 && other == where) ||
            (extent == 2 && other.region == where.region)) {
            group.insert(host_of(index));
        }
    }
    return group;
}

void after(world& all, duration length, std::function<void()> run) {
    plan(all, all.now + length, std::move(run));
}

void partition(world& all, const hosts& there) {
    cut_off(all, there, any_group(all, there));
    after(all, between(all, 300ms, 6s), [&all] {
        all.cut.clear();
    });
}

void cut_store(world& all, const hosts& there) {
    const host_id one = any_host(all, there);
    const bool answers_only = random_below(all.random, 2) == 0;
    all.cut.insert({host_id{}, one});
    if (!answers_only) {
        all.cut.insert({one, host_id{}});
    }
    after(all, between(all, 300ms, 5s), [&all, one] {
        all.cut.erase({host_id{}, one});
        all.cut.erase({one, host_id{}});
    });
}

void store_outage(world& all) {
    all.table.down = true;
    after(all, between(all, 200ms, 6s), [&all] {
        all.table.down = false;
    });
}

/// Ends all faults of the network except cut connections.
void calm(world& all) {
    all.around.loss_percent = 0;
    all.around.duplicate_percent = 0;
    all.around.late_percent = 0;
    all.around.lost_answer_percent = 0;
    all.around.pause_per_mille = 0;
}

void bad_network(world& all) {
    const std::uint64_t kind = random_below(all.random, 5);
    all.around.loss_percent = kind == 0 ? 30 : 0;
    all.around.duplicate_percent = kind == 1 ? 30 : 0;
    all.around.late_percent = kind == 2 ? 20 : 0;
    all.around.lost_answer_percent = kind == 3 ? 40 : 0;
    all.around.pause_per_mille = kind == 4 ? 10 : 0;
    after(all, between(all, 500ms, 4s), [&all] {
        calm(all);
    });
}

void kill_for_a_while(world& all, host_id host) {
    kill(all, host);
    after(all, between(all, 0ns, 5s), [&all, host] {
        if (current(all, host) == nullptr) {
            replace(all, host, 0ns);
        }
    });
}

void leave(world& all, host_id host) {
    process* one = current(all, host);
    if (one == nullptr) {
        return;
    }
    const auto index = static_cast<std::size_t>(one - all.processes.data());
    send_event(all, index, lease::drain_requested{});
    after(all, between(all, 0ns, 2s), [&all, index] {
        send_event(all, index, lease::leave_requested{});
    });
    after(all, between(all, 2s, 4s), [&all, host] {
        replace(all, host, 0ns);
    });
}

void strike(world& all, const hosts& there) {
    const host_id host = any_host(all, there);
    switch (random_below(all.random, 10)) {
    case 0:
    case 1:
        pause(all, host, between(all, 50ms, 4s));
        return;
    case 2:
        kill_for_a_while(all, host);
        return;
    case 3:
        replace(all, host, between(all, 0ns, 5s));
        return;
    case 4:
        partition(all, there);
        return;
    case 5:
        cut_store(all, there);
        return;
    case 6:
        store_outage(all);
        return;
    case 7:
        bad_network(all);
        return;
    case 8:
        set_planner(all, any_host(all, there));
        return;
    default:
        leave(all, host);
        return;
    }
}

void heal(world& all, const hosts& there) {
    calm(all);
    all.cut.clear();
    all.table.down = false;
    for (std::size_t index = 1; index <= there.count; ++index) {
        const process* one = current(all, host_of(index));
        if (one == nullptr || one->self.stage == lease::phase::left) {
            replace(all, host_of(index), 0ns);
        }
    }
}

void check_recovery(world& all, const hosts& there) {
    for (std::size_t index = 1; index <= there.count; ++index) {
        const process* one = current(all, host_of(index));
        if (one == nullptr || !has_lease(*one, all.now)) {
            all.violation =
                fmt::format("host {} hasn't regained a lease", index);
        }
    }
}

/// Without any other fault, a lost host must be deposed within the bound by the
/// remaining daemons.
void check_loss(world& all, const hosts& there) {
    const host_id host = any_host(all, there);
    const member::member_ref ref = lease::self_ref(current(all, host)->self);
    const true_time lost = all.now;
    kill(all, host);
    run_until(all, lost + deposition_bound);
    if (!all.deposed.contains(ref)) {
        all.violation =
            fmt::format("lost host {} wasn't deposed in time", host.value);
    }
}

/// Every fifth schedule uses a network and store so fast that only the drift
/// margin keeps a deposition from overlapping the lease.
conditions any_pace(random_source& shape) {
    conditions around;
    const std::uint64_t pace = random_below(shape, 5);
    around.store_latency = pace % 2 == 0 ? 5ms : 50ms;
    if (pace == 0) {
        around.least_delay = 100us;
        around.most_delay = 300us;
        around.store_latency = 1ms;
        around.tick = 3ms;
    }
    return around;
}

} // namespace

schedule_result run_schedule(std::uint64_t seed, const seeded_faults& faults) {
    world all;
    all.faults = faults;
    random_source shape{seed};
    const hosts there{3 + random_below(shape, 6), 2 + random_below(shape, 2)};
    make_hosts(all, seed, there.count, there.regions);
    all.around = any_pace(shape);
    for (std::size_t index = 1; index <= there.count; ++index) {
        start(all, index);
    }
    set_planner(all, any_host(all, there));
    const std::uint64_t strikes = 2 + random_below(shape, 9);
    for (std::uint64_t i = 0; i < strikes; ++i) {
        plan(all, faults_begin + between(all, 0ns, faults_last), [&] {
            strike(all, there);
        });
    }
    run_until(all, healed);
    heal(all, there);
    run_until(all, recovered);
    const bool unsafe = !all.violation.empty();
    if (!unsafe) {
        check_recovery(all, there);
    }
    if (all.violation.empty()) {
        check_loss(all, there);
    }
    return {all.violation, unsafe, all.deposed.size(), all.joined.size()};
}

} // namespace apricotstile::tests
