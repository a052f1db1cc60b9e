// Random schedules of faults over a world of daemons.

#ifndef APRICOTSTILE_TESTS_LEASE_FAULT_SCHEDULE_HPP
#define APRICOTSTILE_TESTS_LEASE_FAULT_SCHEDULE_HPP

#include <tests/lease/world.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::tests {

struct schedule_result {
    /// What was broken first; empty when every promise held.
    std::string violation;
    /// It concerns ownership, and not only recovery.
    bool unsafe{false};
    std::size_t depositions{0};
    std::size_t joins{0};
};

/// Runs the schedule numbered `seed`: three to eight hosts join, two to ten
/// faults strike them, most at the same time as another; then all faults end,
/// every host must hold a lease again, and one more host is lost.
[[nodiscard]] schedule_result
run_schedule(std::uint64_t seed, const seeded_faults& faults);

} // namespace apricotstile::tests

#endif
