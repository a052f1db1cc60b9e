// Random fault schedules for the simulation of assignment.

#ifndef APRICOTSTILE_TESTS_ASSIGNMENT_FAULT_SCHEDULE_HPP
#define APRICOTSTILE_TESTS_ASSIGNMENT_FAULT_SCHEDULE_HPP

#include <tests/assignment/assignment_world.hpp>

#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

namespace apricotstile::tests {

enum class fault_kind : std::uint8_t {
    store_down,
    store_up,
    answers_lost,
    answers_delivered,
    pause,
    resume,
    isolate,
    reconnect,
    crash_and_depose,
    pause_and_depose,
    restart,
    leave
};

struct fault_step {
    fault_kind kind{fault_kind::store_up};
    /// Index of the affected daemon; ignored by faults of the store.
    std::size_t daemon{0};
    /// Time until the next step.
    duration wait{0};
};

std::ostream& operator<<(std::ostream& out, const fault_step& step);

struct fault_schedule {
    /// Seed of the simulation's random numbers.
    std::uint64_t seed{0};
    std::vector<fault_step> steps;
};

std::ostream& operator<<(std::ostream& out, const fault_schedule& schedule);

rc::Gen<fault_schedule> arbitrary_fault_schedule();

/// Runs `schedule` and then ends all faults. Returns the first violated
/// invariant or, if there is none, what didn't recover within 60 s; empty if
/// all is well.
std::string
find_violation(const fault_schedule& schedule, const seeded_faults& faults);

} // namespace apricotstile::tests

#endif
