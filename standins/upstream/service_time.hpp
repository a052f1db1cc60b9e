// How long the upstream stand-in works on a request.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_SERVICE_TIME_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_SERVICE_TIME_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::standins {

enum class distribution : std::uint8_t { fixed, exponential, lognormal };

struct service_time {
    duration mean{0};
    distribution shape{distribution::lognormal};
    /// While the process is younger than `cold_for`, times are multiplied by
    /// a factor that falls from `cold_factor` to one.
    duration cold_for{0};
    double cold_factor{1};
};

/// "fixed", "exponential" or "lognormal"; throws std::invalid_argument.
[[nodiscard]] distribution parse_distribution(const std::string& name);

/// The time of one request in a process of the given age.
[[nodiscard]] duration
draw(const service_time& times, duration age, random_source& random);

} // namespace apricotstile::standins

#endif
