// Steps of the test world that its own parts share.

#ifndef APRICOTSTILE_TESTS_LEASE_WORLD_STEPS_HPP
#define APRICOTSTILE_TESTS_LEASE_WORLD_STEPS_HPP

#include <tests/lease/world.hpp>

namespace apricotstile::tests {

[[nodiscard]] duration random_duration(world& all, duration longest);

/// Hands an event to a run of a daemon, once any pause of it is over.
void deliver(world& all, std::size_t index, const lease::event& what);

/// Ticks now and plans the next tick.
void tick_on(world& all, std::size_t index);

} // namespace apricotstile::tests

#endif
