// Ownership over random schedules of faults: store outages, lost answers,
// pauses, partitions, crashes, depositions, departures and racing planners.

#include <tests/assignment/fault_schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

constexpr std::size_t schedules_per_property_case = 6;
constexpr int max_schedules_until_detected = 400;

/// How many schedules it takes until `faults` break a promise; zero when
/// none of them does.
int schedules_until_detected(
    const seeded_faults& faults, std::string& violation
) {
    const auto generator = arbitrary_fault_schedule();
    for (int i = 1; i <= max_schedules_until_detected; ++i) {
        const rc::Random random{static_cast<std::uint64_t>(i)};
        const fault_schedule schedule = generator(random, i % 100).value();
        violation = find_violation(schedule, faults);
        if (!violation.empty()) {
            return i;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("keys have one owner under any schedule of faults", "[ownership]") {
    rc::prop("and every key is served again after them", [] {
        const auto schedules = *rc::gen::container<std::vector<fault_schedule>>(
            schedules_per_property_case, arbitrary_fault_schedule()
        );
        for (const fault_schedule& schedule : schedules) {
            RC_ASSERT(find_violation(schedule, {}) == "");
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
    const int schedule_count = schedules_until_detected(faults, violation);
    UNSCOPED_INFO(
        name << " caught after " << schedule_count << ": " << violation
    );
    CHECK(schedule_count > 0);
}
