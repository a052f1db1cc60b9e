// Schedules of faults for the assignment world, drawn at random.

#ifndef APRICOTSTILE_TESTS_ASSIGNMENT_FAULT_SCHEDULE_HPP
#define APRICOTSTILE_TESTS_ASSIGNMENT_FAULT_SCHEDULE_HPP

#include <tests/assignment/assignment_world.hpp>

#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

namespace apricotstile::tests {

enum class disturbance : std::uint8_t {
    store_down,
    store_up,
    answers_lost,
    answers_back,
    pause,
    resume,
    cut_off,
    join_again,
    crash_and_depose,
    pause_and_depose,
    restart,
    leave
};

struct disturbance_step {
    disturbance kind{disturbance::store_up};
    std::size_t daemon{0};
    duration wait{0};
};

std::ostream& operator<<(std::ostream& out, const disturbance_step& step);

struct schedule {
    std::uint64_t seed{0};
    std::vector<disturbance_step> steps;
};

std::ostream& operator<<(std::ostream& out, const schedule& plan);

rc::Gen<schedule> schedules();

/// The first broken promise under `plan`, what isn't as it should be after
/// it, or empty.
std::string violation_under(const schedule& plan, const seeded_faults& faults);

} // namespace apricotstile::tests

#endif
