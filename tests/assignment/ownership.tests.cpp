// Safety and recovery of ownership under random fault schedules. Guards against
// two owners that serve a key at the same time, lost assignments and keys that
// nobody serves. Such failures come from store outages, lost responses, pauses,
// partitions, crashes, depositions, leaving members and concurrent planners.

#include <tests/assignment/fault_schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

constexpr std::size_t schedules_per_property_case = 6;
constexpr int max_schedules_until_detected = 400;

/// Returns the number of schedules up to and including the first in which
/// `faults` violate an invariant or prevent recovery; zero if none does.
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

TEST_CASE("Each key has at most one owner under random faults", "[ownership]") {
    rc::prop("every key is served again after the faults", [] {
        const auto schedules = *rc::gen::container<std::vector<fault_schedule>>(
            schedules_per_property_case, arbitrary_fault_schedule()
        );
        for (const fault_schedule& schedule : schedules) {
            RC_ASSERT(find_violation(schedule, {}) == "");
        }
    });
}

// Shows that the checks detect violations: each seeded fault must be detected.
TEST_CASE("Every seeded fault is detected", "[ownership][faults]") {
    seeded_faults faults;
    std::string name;
    SECTION("an owner releases a range without conditions") {
        name = "unconditional release";
        faults.release_not_conditional = true;
    }
    SECTION("a planner changes the map without conditions") {
        name = "unconditional planner change";
        faults.planner_not_conditional = true;
    }
    SECTION("an owner serves again after a lost response without reading") {
        name = "serving after a lost response";
        faults.serves_after_lost_answer = true;
    }
    SECTION("ownership is checked before queueing, not before dispatch") {
        name = "check before queueing";
        faults.checks_before_queueing = true;
    }
    SECTION("an owner releases a range while requests are in flight") {
        name = "release before drained";
        faults.releases_before_drained = true;
    }
    std::string violation;
    const int schedule_count = schedules_until_detected(faults, violation);
    UNSCOPED_INFO(
        name << ": detected after schedule " << schedule_count << ": "
             << violation
    );
    CHECK(schedule_count > 0);
}
