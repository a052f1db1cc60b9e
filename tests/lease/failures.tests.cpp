// One test for each kind of failure that leases must survive: separated
// regions, a lost guardian, a paused holder, lost guardians together with the
// store, and a lost region. Guards against a member that loses its lease
// without need, and against one that keeps its lease after it was deposed.

#include <tests/lease/simulation.hpp>

#include <catch2/catch.hpp>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t host_count = 8;
constexpr std::size_t regions = 2;

/// Starts two regions of two failure domains with two hosts each, and runs
/// until all have joined. The store is in region zero.
void start_and_join(simulation& sim, std::uint64_t seed) {
    make_hosts(sim, seed, host_count, regions);
    for (std::size_t index = 1; index <= host_count; ++index) {
        start(sim, index);
    }
    set_planner(sim, host_of(2));
    run_until(sim, 15s);
}

bool in_store_region(host_id host) {
    return location_of(host.value, regions) == location_of(0, regions) ||
           location_of(host.value, regions) == location_of(2, regions);
}

void separate_regions(simulation& sim) {
    for (std::size_t one = 0; one <= host_count; ++one) {
        for (std::size_t other = 0; other <= host_count; ++other) {
            if (in_store_region(host_of(one)) !=
                in_store_region(host_of(other))) {
                sim.cut.insert({host_of(one), host_of(other)});
            }
        }
    }
}

/// Runs until `end` and returns the time that live members were without a
/// lease, summed over the members.
duration time_without_lease(simulation& sim, true_time end) {
    duration without_lease{};
    while (sim.now < end) {
        run_until(sim, sim.now + 10ms);
        for (const process& one : sim.processes) {
            if (!one.dead && one.has_address && !has_lease(one, sim.now)) {
                without_lease += 10ms;
            }
        }
    }
    return without_lease;
}

const std::vector<member::member_ref>&
guardians_of(simulation& sim, host_id host) {
    return current_process(sim, host)->self.row.confirmed.record.guardians;
}

} // namespace

TEST_CASE(
    "Separated regions keep their leases for an hour", "[lease][failures]"
) {
    simulation sim;
    start_and_join(sim, 31);
    separate_regions(sim);
    CHECK(time_without_lease(sim, sim.now + 1h) == 0ns);
    sim.cut.clear();
    CHECK(time_without_lease(sim, sim.now + 1min) == 0ns);
    CHECK(sim.deposed.empty());
    CHECK(sim.violation.empty());
}

TEST_CASE(
    "A lost guardian ends no lease and is replaced", "[lease][failures]"
) {
    simulation sim;
    start_and_join(sim, 32);
    const host_id lost = guardians_of(sim, host_of(1)).at(0).host;
    kill_process(sim, lost);
    CHECK(time_without_lease(sim, sim.now + 10s) == 0ns);
    for (const process& one : sim.processes) {
        if (one.dead) {
            continue;
        }
        for (const member::member_ref& guardian :
             one.self.row.confirmed.record.guardians) {
            CHECK(guardian.host != lost);
        }
    }
}

TEST_CASE(
    "A holder that pauses beyond its lease has none when it resumes",
    "[lease][failures]"
) {
    simulation sim;
    start_and_join(sim, 33);
    const auto former = lease::self_ref(current_process(sim, host_of(3))->self);
    pause_process(sim, host_of(3), 4s);
    run_until(sim, sim.now + 3s);
    CHECK(sim.deposed.contains(former));
    CHECK(!has_lease(*current_process(sim, host_of(3)), sim.now));
    run_until(sim, sim.now + 6s);
    const process* resumed = current_process(sim, host_of(3));
    CHECK(lease::self_ref(resumed->self).incarnation > former.incarnation);
    CHECK(has_lease(*resumed, sim.now));
    CHECK(sim.violation.empty());
}

TEST_CASE(
    "Loss of two guardians and the store ends the lease safely",
    "[lease][failures]"
) {
    simulation sim;
    start_and_join(sim, 34);
    sim.table.down = true;
    const auto guardians = guardians_of(sim, host_of(1));
    kill_process(sim, guardians.at(0).host);
    kill_process(sim, guardians.at(1).host);
    run_until(sim, sim.now + 30s);
    CHECK(!has_lease(*current_process(sim, host_of(1)), sim.now));
    CHECK(sim.deposed.empty());
    sim.table.down = false;
    run_until(sim, sim.now + 10s);
    CHECK(has_lease(*current_process(sim, host_of(1)), sim.now));
    CHECK(sim.violation.empty());
}

TEST_CASE(
    "Members of a lost region aren't deposed before their hosts return",
    "[lease][failures]"
) {
    simulation sim;
    start_and_join(sim, 35);
    for (std::size_t index = 1; index <= host_count; ++index) {
        if (!in_store_region(host_of(index))) {
            kill_process(sim, host_of(index));
        }
    }
    run_until(sim, sim.now + 1min);
    CHECK(sim.deposed.empty());
    for (std::size_t index = 1; index <= host_count; ++index) {
        if (!in_store_region(host_of(index))) {
            replace_process(sim, host_of(index), 0ns);
        }
    }
    run_until(sim, sim.now + 10s);
    CHECK(sim.deposed.size() == host_count / 2);
    CHECK(time_without_lease(sim, sim.now + 1s) == 0ns);
}

} // namespace apricotstile::tests
