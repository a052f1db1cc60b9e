// Liveness of membership and leases. Guards against daemons that don't join or
// rejoin, against leases that end while the store is down, and against lost
// hosts that are deposed too late, or members that are deposed although they
// left.

#include <apricotstile/lease/description.hpp>
#include <tests/lease/world.hpp>

#include <catch2/catch.hpp>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

void start_all(world& all, std::size_t count) {
    for (std::size_t index = 1; index <= count; ++index) {
        start(all, index);
    }
}

bool all_have_leases(world& all) {
    for (const process& one : all.processes) {
        if (!one.dead && one.has_address && !has_lease(one, all.now)) {
            return false;
        }
    }
    return true;
}

bool keeps_leases_for(world& all, duration length) {
    const true_time end = all.now + length;
    while (all.now < end) {
        run_until(all, all.now + 10ms);
        if (!all_have_leases(all)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("A deployment of any size joins and holds leases", "[lease]") {
    const std::size_t count = GENERATE(1, 2, 3, 4, 6, 12);
    world all;
    make_hosts(all, 7 + count, count, 3);
    start_all(all, count);
    run_until(all, 8s);
    CHECK(all.joined.size() == count);
    CHECK(all_have_leases(all));
    for (const process& one : all.processes) {
        const auto shown = lease::describe(one.self, local_time(one, all.now));
        CHECK(shown.renews_in_table == (count < 4));
    }
    CHECK(keeps_leases_for(all, 5s));
    CHECK(all.violation.empty());
}

TEST_CASE("Members keep their leases while the store is down", "[lease]") {
    world all;
    make_hosts(all, 21, 6, 3);
    start_all(all, 6);
    run_until(all, 8s);
    all.table.down = true;
    CHECK(keeps_leases_for(all, 120s));
    all.table.down = false;
    CHECK(keeps_leases_for(all, 10s));
    CHECK(all.deposed.empty());
}

TEST_CASE("A lost host is deposed within the bound", "[lease]") {
    // Of the 2 s allowed for a failover, 0.5 s remain for reassigning slices.
    constexpr duration bound = 1500ms;
    const std::uint64_t seed = GENERATE(range(0, 40));
    const std::size_t count = 4 + seed % 9;
    world all;
    all.around.store_latency = seed % 2 == 0 ? 5ms : 50ms;
    make_hosts(all, seed, count, 3);
    start_all(all, count);
    set_planner(all, host_of(1));
    run_until(all, 8s + seed * 17ms);
    const host_id victim = host_of(1 + seed % count);
    const member::member_ref ref = lease::self_ref(current(all, victim)->self);
    const true_time lost = all.now;
    kill(all, victim);
    run_until(all, lost + 5s);
    REQUIRE(all.deposed.contains(ref));
    CHECK(all.deposed[ref] - lost <= bound);
    CHECK(all.deposed.size() == 1);
    CHECK(all.violation.empty());
}

TEST_CASE(
    "A daemon killed and restarted owns nothing before its former "
    "incarnation is deposed",
    "[lease]"
) {
    world all;
    make_hosts(all, 5, 6, 3);
    start_all(all, 6);
    run_until(all, 8s);
    const auto before = lease::self_ref(current(all, host_of(3))->self);
    replace(all, host_of(3), 0ns);
    run_until(all, 12s);
    const auto after = lease::self_ref(current(all, host_of(3))->self);
    CHECK(all.deposed.contains(before));
    CHECK(after.incarnation == next(before.incarnation));
    CHECK(all_have_leases(all));
}

TEST_CASE(
    "A deployment whose daemons are all killed at once joins again", "[lease]"
) {
    world all;
    make_hosts(all, 6, 8, 2);
    start_all(all, 8);
    run_until(all, 8s);
    for (std::size_t index = 1; index <= 8; ++index) {
        replace(all, host_of(index), 0ns);
    }
    run_until(all, 16s);
    CHECK(all_have_leases(all));
    CHECK(all.joined.size() == 16);
}

TEST_CASE("A member that leaves ends its lease and isn't deposed", "[lease]") {
    world all;
    make_hosts(all, 8, 6, 3);
    start_all(all, 6);
    run_until(all, 8s);
    send_event(all, 1, lease::drain_requested{});
    run_until(all, 9s);
    CHECK(all_have_leases(all));
    send_event(all, 1, lease::leave_requested{});
    CHECK(!has_lease(all.processes[1], all.now));
    run_until(all, 14s);
    CHECK(all.records[host_of(2)].state == member::member_state::left);
    CHECK(all.deposed.empty());
    CHECK(all.processes[1].self.stage == lease::phase::left);
}

} // namespace apricotstile::tests
