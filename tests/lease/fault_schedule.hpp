// Random fault schedules for a simulation of several daemons.

#ifndef APRICOTSTILE_TESTS_LEASE_FAULT_SCHEDULE_HPP
#define APRICOTSTILE_TESTS_LEASE_FAULT_SCHEDULE_HPP

#include <tests/lease/simulation.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::tests {

struct schedule_result {
    /// The first property that was violated; empty if none was.
    std::string violation;
    /// The violation concerns safety of ownership, not only recovery.
    bool unsafe{false};
    std::size_t depositions{0};
    std::size_t joins{0};
};

/// Runs the schedule numbered `seed`: three to eight hosts join and two to ten
/// faults are injected, most of them overlapping another. Then all faults end,
/// every host must regain a lease, and one more host is lost and must be
/// deposed.
[[nodiscard]] schedule_result
run_schedule(std::uint64_t seed, const seeded_faults& faults);

} // namespace apricotstile::tests

#endif
