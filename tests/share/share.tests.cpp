// Guards against admitting more requests than the plan allows when messages
// are lost, hosts pause or crash, ownership moves or the plan changes; and
// against a plan that can't be used fully when nothing fails.

#include <tests/share/share_simulation.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace std::chrono_literals;

namespace {

std::uint64_t admitted_everywhere(const tests::share_simulation& sim) {
    std::uint64_t count = 0;
    for (const tests::share_host& host : sim.hosts) {
        count += host.admitted;
    }
    return count;
}

plan::plan_limits
limits_of(std::uint32_t rate, std::uint32_t burst, std::uint32_t concurrency) {
    plan::plan_limits limits;
    limits.services = {{"registry"}};
    limits.requests_per_second = rate;
    limits.burst = burst;
    limits.requests_at_once = concurrency;
    return limits;
}

tests::share_simulation
make_quiet_simulation(std::uint64_t seed, const plan::plan_limits& limits) {
    tests::share_simulation sim = tests::make_share_simulation(seed, {});
    tests::set_limits(sim, limits);
    tests::run_for(sim, 11s);
    return sim;
}

std::uint64_t
cases_until_detected(const share::share_policy& policy, std::uint64_t limit) {
    for (std::uint64_t seed = 0; seed < limit; ++seed) {
        if (!tests::simulate_random_faults(seed, policy).violation.empty()) {
            return seed + 1;
        }
    }
    return limit;
}

} // namespace

TEST_CASE(
    "no time window admits more requests than the plan allows", "[share]"
) {
    rc::prop("under random faults", [](std::uint64_t seed) {
        const auto sim = tests::simulate_random_faults(seed, {});
        RC_ASSERT(sim.violation == std::string{});
    });
}

TEST_CASE("a plan can be used fully again after faults end", "[share]") {
    rc::prop("with a skewed demand above the limit", [](std::uint64_t seed) {
        auto sim = tests::simulate_random_faults(seed, {});
        tests::end_faults(sim);
        tests::set_limits(sim, limits_of(100, 100, 1000));
        for (std::size_t at = 0; at < sim.hosts.size(); ++at) {
            sim.hosts[at].demand = at == 0 ? 300 : 20;
        }
        tests::run_for(sim, 15s);
        const auto before = admitted_everywhere(sim);
        tests::run_for(sim, 10s);
        RC_ASSERT(sim.violation == std::string{});
        RC_ASSERT(admitted_everywhere(sim) - before >= 950);
        // The large demand doesn't starve the small ones.
        for (const tests::share_host& host : sim.hosts) {
            RC_ASSERT(host.admitted > 0);
        }
    });
}

TEST_CASE("a planned move of ownership keeps the plan usable", "[share]") {
    auto sim = make_quiet_simulation(5, limits_of(100, 100, 1000));
    sim.hosts[1].demand = 90;
    tests::run_for(sim, 5s);
    const auto before = sim.hosts[1].admitted;
    tests::move_by_handover(sim, 3);
    tests::run_for(sim, 5s);
    REQUIRE(sim.violation.empty());
    REQUIRE(sim.hosts[1].admitted - before >= 400);
    // A new holder gets a share from the new owner without waiting.
    sim.hosts[2].demand = 5;
    tests::run_for(sim, 2s);
    REQUIRE(sim.hosts[2].admitted > 0);
    const auto first = sim.hosts[2].admitted;
    tests::run_for(sim, 10s);
    REQUIRE(sim.hosts[2].admitted - first >= 35);
}

TEST_CASE("a limit below the number of holders rotates among them", "[share]") {
    auto sim = make_quiet_simulation(6, limits_of(2, 1, 1));
    for (tests::share_host& host : sim.hosts) {
        host.demand = 5;
    }
    tests::run_for(sim, 60s);
    REQUIRE(sim.violation.empty());
    for (const tests::share_host& host : sim.hosts) {
        REQUIRE(host.admitted > 0);
    }
}

TEST_CASE("an idle share moves to the holder with demand", "[share]") {
    auto sim = make_quiet_simulation(7, limits_of(100, 100, 1000));
    sim.hosts[1].demand = 300;
    tests::run_for(sim, 5s);
    sim.hosts[1].demand = 0;
    sim.hosts[2].demand = 300;
    tests::run_for(sim, 2s);
    const auto before = sim.hosts[2].admitted;
    tests::run_for(sim, 5s);
    REQUIRE(sim.violation.empty());
    REQUIRE(sim.hosts[2].admitted - before >= 475);
}

TEST_CASE("a lowered limit holds after old shares have expired", "[share]") {
    auto sim = make_quiet_simulation(8, limits_of(100, 10, 100));
    sim.hosts[1].demand = 300;
    tests::run_for(sim, 5s);
    tests::set_limits(sim, limits_of(10, 10, 100));
    tests::run_for(sim, 6s);
    const auto before = sim.hosts[1].admitted;
    tests::run_for(sim, 10s);
    REQUIRE(sim.hosts[1].admitted - before <= 110);
}

TEST_CASE("refusals have a reason and a wait has a retry time", "[share]") {
    auto sim = make_quiet_simulation(9, limits_of(10, 1, 1));
    auto& host = sim.hosts[0];
    const customer_id nobody{"nobody"};
    const customer_id listed{"marina-delfzijl"};
    const service_id registry{"registry"};
    const service_id other{"tariffs"};
    const auto unknown =
        share::admit(host.ingress, host.book, {nobody, registry, 1s}, sim.now);
    REQUIRE(unknown.refusal == request::refusal::unknown_customer);
    const auto denied =
        share::admit(host.ingress, host.book, {listed, other, 1s}, sim.now);
    REQUIRE(denied.refusal == request::refusal::not_allowed_by_plan);
    const auto first =
        share::admit(host.ingress, host.book, {listed, registry, 1s}, sim.now);
    REQUIRE(first.status == share::admission_status::wait_for_share);
    REQUIRE(first.retry_after > duration{0});
}

TEST_CASE("injected faults of share lending are detected", "[share][fault]") {
    constexpr std::uint64_t limit = 500;
    share::share_policy policy;
    policy.fault_never_expires = true;
    const auto never_expires = cases_until_detected(policy, limit);
    policy = {};
    policy.fault_skips_waiting = true;
    const auto no_waiting = cases_until_detected(policy, limit);
    policy = {};
    policy.fault_lends_unreturned = true;
    const auto unreturned = cases_until_detected(policy, limit);
    policy = {};
    policy.fault_accepts_older_grants = true;
    const auto older = cases_until_detected(policy, 10 * limit);
    WARN("a share never expires: detected in case " << never_expires);
    WARN("a new owner doesn't wait: detected in case " << no_waiting);
    WARN("lent before it was returned: detected in case " << unreturned);
    WARN("an older grant is applied: detected in case " << older);
    CHECK(never_expires < limit);
    CHECK(no_waiting < limit);
    CHECK(unreturned < limit);
    CHECK(older < 10 * limit);
}
