// Schedules of faults for the assignment world, drawn at random.

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
    std::size_t daemon{0};
    duration wait{0};
};

std::ostream& operator<<(std::ostream& out, const fault_step& step);

struct fault_schedule {
    std::uint64_t seed{0};
    std::vector<fault_step> steps;
};

std::ostream& operator<<(std::ostream& out, const fault_schedule& schedule);

rc::Gen<fault_schedule> arbitrary_fault_schedule();

/// The first broken promise under `plan`, what isn't as it should be after
/// it, or empty.
std::string
find_violation(const fault_schedule& schedule, const seeded_faults& faults);

} // namespace apricotstile::tests

#endif
