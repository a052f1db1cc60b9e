// Guards against load that overloaded owners keep, and against members that are
// overloaded by what several owners move to them at the same time.

#include <apricotstile/keys/load_rebalancing.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::keys;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

instance_load make_load(double demand, double work) {
    return {18, demand, work, 100ms};
}

} // namespace

TEST_CASE("an owner with spare capacity keeps its keys", "[keys][relief]") {
    CHECK(excess_load({}, make_load(14, 14)) == 0);
}

TEST_CASE("an overloaded owner moves its excess load", "[keys][relief]") {
    const rebalancing_policy policy;
    CHECK(
        excess_load(policy, make_load(30, 18)) ==
        Approx(30 - 18 * policy.target_utilization)
    );
}

TEST_CASE("a backlog alone makes an owner move some load", "[keys][relief]") {
    const rebalancing_policy policy;
    CHECK(
        excess_load(policy, make_load(10, 60)) ==
        Approx(10 * policy.min_moved_share)
    );
}

TEST_CASE(
    "many overloaded owners don't fill a member beyond its target",
    "[keys][relief]"
) {
    const rebalancing_policy policy;
    capacity_reservations reservations;
    double offered = 0;
    for (std::uint64_t owner = 1; owner <= 20; ++owner) {
        offered += reserve_capacity(
            reservations, policy, make_load(4, 2), {host_id{owner}, 1}, 3, start
        );
    }
    CHECK(offered <= 18 * policy.target_utilization - 4 + 1e-9);
    CHECK(
        offered > 18 * policy.target_utilization - 4 - policy.min_moved_slots
    );
}

TEST_CASE("capacity that isn't claimed is free again", "[keys][relief]") {
    const rebalancing_policy policy;
    capacity_reservations reservations;
    const capacity_request_id first{host_id{1}, 1};
    const capacity_request_id second{host_id{2}, 1};
    const auto ask = [&](const capacity_request_id& id, instant now) {
        return reserve_capacity(
            reservations, policy, make_load(0, 0), id, 100, now
        );
    };
    CHECK(ask(first, start) == Approx(18 * policy.target_utilization));
    CHECK(ask(second, start) == 0);
    claim_capacity(reservations, policy, first, 2, start);
    CHECK(ask(second, start) == Approx(18 * policy.target_utilization - 2));
    claim_capacity(reservations, policy, second, 0, start);
    CHECK(ask(second, start) == Approx(18 * policy.target_utilization - 2));
    CHECK(
        ask(second, start + policy.claim_timeout) ==
        Approx(18 * policy.target_utilization)
    );
}

TEST_CASE("load is divided by what members offer", "[keys][relief]") {
    const auto parts = divide_load(
        {},
        make_load(40, 18),
        12,
        {{host_id{2}, 0, 100ms},
         {host_id{3}, 4, 100ms},
         {host_id{4}, 9, 100ms},
         {host_id{5}, 3, 100ms}}
    );
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].member == host_id{4});
    CHECK(parts[0].owner_slots == Approx(9));
    CHECK(parts[1].member == host_id{3});
    CHECK(parts[1].owner_slots == Approx(3));
}

TEST_CASE("a faster member takes more load per slot", "[keys][relief]") {
    const auto parts = divide_load(
        {},
        make_load(40, 18),
        30,
        {{host_id{2}, 5, 50ms}, {host_id{3}, 5, 200ms}}
    );
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].member == host_id{2});
    CHECK(parts[0].owner_slots == Approx(10));
    CHECK(parts[0].member_slots == Approx(5));
    CHECK(parts[1].owner_slots == Approx(2.5));
}

TEST_CASE(
    "a cold instance neither gives keys away nor receives any",
    "[keys][relief][cold]"
) {
    instance_load overloaded = make_load(30, 60);
    overloaded.cold = true;
    CHECK(excess_load({}, overloaded) == 0);
    instance_load idle = make_load(0, 0);
    idle.cold = true;
    capacity_reservations reservations;
    CHECK(
        reserve_capacity(reservations, {}, idle, {host_id{1}, 1}, 3, start) == 0
    );
    CHECK(reservations.reserved.empty());
}
