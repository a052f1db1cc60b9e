// Liveness of membership and leases. Guards against daemons that don't join or
// rejoin, against leases that end while the store is down, and against lost
// hosts that are deposed too late, or members that are deposed although they
// left.

#include <apricotstile/lease/description.hpp>
#include <tests/lease/simulation.hpp>

#include <catch2/catch.hpp>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

void start_all(simulation& sim, std::size_t count) {
    for (std::size_t index = 1; index <= count; ++index) {
        start(sim, index);
    }
}

bool all_have_leases(simulation& sim) {
    for (const process& one : sim.processes) {
        if (!one.dead && one.has_address && !has_lease(one, sim.now)) {
            return false;
        }
    }
    return true;
}

bool keeps_leases_for(simulation& sim, duration length) {
    const true_time end = sim.now + length;
    while (sim.now < end) {
        run_until(sim, sim.now + 10ms);
        if (!all_have_leases(sim)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("A deployment of any size joins and holds leases", "[lease]") {
    const std::size_t count = GENERATE(1, 2, 3, 4, 6, 12);
    simulation sim;
    make_hosts(sim, 7 + count, count, 3);
    start_all(sim, count);
    run_until(sim, 8s);
    CHECK(sim.joined.size() == count);
    CHECK(all_have_leases(sim));
    for (const process& one : sim.processes) {
        const auto shown = lease::describe(one.self, local_time(one, sim.now));
        CHECK(shown.renews_in_table == (count < 4));
    }
    CHECK(keeps_leases_for(sim, 5s));
    CHECK(sim.violation.empty());
}

TEST_CASE("Members keep their leases while the store is down", "[lease]") {
    simulation sim;
    make_hosts(sim, 21, 6, 3);
    start_all(sim, 6);
    run_until(sim, 8s);
    sim.table.down = true;
    CHECK(keeps_leases_for(sim, 120s));
    sim.table.down = false;
    CHECK(keeps_leases_for(sim, 10s));
    CHECK(sim.deposed.empty());
}

TEST_CASE("A lost host is deposed within the bound", "[lease]") {
    // Of the 2 s allowed for a failover, 0.5 s remain for reassigning slices.
    constexpr duration bound = 1500ms;
    const std::uint64_t seed = GENERATE(range(0, 40));
    const std::size_t count = 4 + seed % 9;
    simulation sim;
    sim.environment.store_latency = seed % 2 == 0 ? 5ms : 50ms;
    make_hosts(sim, seed, count, 3);
    start_all(sim, count);
    set_planner(sim, host_of(1));
    run_until(sim, 8s + seed * 17ms);
    const host_id victim = host_of(1 + seed % count);
    const member::member_ref ref =
        lease::self_ref(current_process(sim, victim)->self);
    const true_time lost = sim.now;
    kill_process(sim, victim);
    run_until(sim, lost + 5s);
    REQUIRE(sim.deposed.contains(ref));
    CHECK(sim.deposed[ref] - lost <= bound);
    CHECK(sim.deposed.size() == 1);
    CHECK(sim.violation.empty());
}

TEST_CASE(
    "A daemon killed and restarted owns nothing before its former "
    "incarnation is deposed",
    "[lease]"
) {
    simulation sim;
    make_hosts(sim, 5, 6, 3);
    start_all(sim, 6);
    run_until(sim, 8s);
    const auto before = lease::self_ref(current_process(sim, host_of(3))->self);
    replace_process(sim, host_of(3), 0ns);
    run_until(sim, 12s);
    const auto after = lease::self_ref(current_process(sim, host_of(3))->self);
    CHECK(sim.deposed.contains(before));
    CHECK(after.incarnation == next(before.incarnation));
    CHECK(all_have_leases(sim));
}

TEST_CASE(
    "A deployment whose daemons are all killed at once joins again", "[lease]"
) {
    simulation sim;
    make_hosts(sim, 6, 8, 2);
    start_all(sim, 8);
    run_until(sim, 8s);
    for (std::size_t index = 1; index <= 8; ++index) {
        replace_process(sim, host_of(index), 0ns);
    }
    run_until(sim, 16s);
    CHECK(all_have_leases(sim));
    CHECK(sim.joined.size() == 16);
}

TEST_CASE("A member that leaves ends its lease and isn't deposed", "[lease]") {
    simulation sim;
    make_hosts(sim, 8, 6, 3);
    start_all(sim, 6);
    run_until(sim, 8s);
    send_event(sim, 1, lease::drain_requested{});
    run_until(sim, 9s);
    CHECK(all_have_leases(sim));
    send_event(sim, 1, lease::leave_requested{});
    CHECK(!has_lease(sim.processes[1], sim.now));
    run_until(sim, 14s);
    CHECK(sim.records[host_of(2)].state == member::member_state::left);
    CHECK(sim.deposed.empty());
    CHECK(sim.processes[1].self.stage == lease::phase::left);
}

} // namespace apricotstile::tests
