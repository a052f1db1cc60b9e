// Functions shared by the source files of the simulation.

#ifndef APRICOTSTILE_TESTS_LEASE_SIMULATION_STEPS_HPP
#define APRICOTSTILE_TESTS_LEASE_SIMULATION_STEPS_HPP

#include <tests/lease/simulation.hpp>

namespace apricotstile::tests {

[[nodiscard]] duration random_duration(simulation& sim, duration longest);

/// Delivers an event to a process, after its pause if it is paused.
void deliver(simulation& sim, std::size_t index, const lease::event& event);

/// Delivers a tick now and schedules the next one.
void run_ticks(simulation& sim, std::size_t index);

} // namespace apricotstile::tests

#endif
