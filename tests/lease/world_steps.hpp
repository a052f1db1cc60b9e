// Functions shared by the source files of the simulation.

#ifndef APRICOTSTILE_TESTS_LEASE_WORLD_STEPS_HPP
#define APRICOTSTILE_TESTS_LEASE_WORLD_STEPS_HPP

#include <tests/lease/world.hpp>

namespace apricotstile::tests {

[[nodiscard]] duration random_duration(world& sim, duration longest);

/// Delivers an event to a process, after its pause if it is paused.
void deliver(world& sim, std::size_t index, const lease::event& event);

/// Delivers a tick now and schedules the next one.
void run_ticks(world& sim, std::size_t index);

} // namespace apricotstile::tests

#endif
