// Ownership over random schedules of faults: store outages, lost answers,
// pauses, partitions, crashes, depositions, departures and racing planners.

#include <tests/assignment/fault_schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

constexpr std::size_t schedules_a_case = 6;
constexpr int max_cases_to_catch = 400;

/// How many schedules it takes until `faults` break a promise; zero when
/// none of them does.
int cases_to_catch(const seeded_faults& faults, std::string& violation) {
    const auto generator = schedules();
    for (int i = 1; i <= max_cases_to_catch; ++i) {
        const rc::Random random{static_cast<std::uint64_t>(i)};
        const schedule plan = generator(random, i % 100).value();
        violation = violation_under(plan, faults);
        if (!violation.empty()) {
            return i;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("keys have one owner under any schedule of faults", "[ownership]") {
    rc::prop("and every key is served again after them", [] {
        const auto plans = *rc::gen::container<std::vector<schedule>>(
            schedules_a_case, schedules()
        );
        for (const schedule& plan : plans) {
            RC_ASSERT(violation_under(plan, {}) == "");
        }
    });
}

// The properties must be able to fail: each known fault breaks one.
TEST_CASE("every seeded fault is caught", "[ownership][faults]") {
    seeded_faults faults;
    std::string name;
    SECTION("a release that isn't conditional") {
        name = "release not conditional";
        faults.release_not_conditional = true;
    }
    SECTION("a planner's change without conditions") {
        name = "planner not conditional";
        faults.planner_not_conditional = true;
    }
    SECTION("serving again after a lost answer without reading") {
        name = "serves after a lost answer";
        faults.serves_after_lost_answer = true;
    }
    SECTION("a check before queueing in place of before dispatch") {
        name = "checks before queueing";
        faults.checks_before_queueing = true;
    }
    SECTION("a release before work in flight has finished") {
        name = "releases before drained";
        faults.releases_before_drained = true;
    }
    std::string violation;
    const int cases = cases_to_catch(faults, violation);
    UNSCOPED_INFO(name << " caught after " << cases << ": " << violation);
    CHECK(cases > 0);
}
