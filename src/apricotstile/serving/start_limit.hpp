// Limits the rate at which work is started at an instance that accepts only so
// many requests a second.

#ifndef APRICOTSTILE_SERVING_START_LIMIT_HPP
#define APRICOTSTILE_SERVING_START_LIMIT_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <optional>

namespace apricotstile::serving {

/// Spaces starts evenly; see `count_start`.
struct start_limit {
    /// Starts a second; nothing if there is no limit.
    std::optional<double> per_second;
    /// When the next start is due if all starts are evenly spaced.
    instant next_due;
    /// Starts that weren't used are kept for this long.
    duration burst_time{std::chrono::milliseconds{250}};
    /// Work starts at this rate at least, since only an answer shows that the
    /// instance has raised or ended its limit.
    double min_per_second{0.25};
};

/// Sets or removes the limit. The first start under a new limit has to wait, as
/// the instance has more than enough work then.
void set_rate(
    start_limit& limit, std::optional<double> per_second, instant now
);

/// How long until `starts` (at least one) pieces of work may have started; zero
/// if they may start now.
[[nodiscard]] duration
wait_for_starts(const start_limit& limit, std::size_t starts, instant now);

/// Records that work has started, which moves `next_due` by one interval.
void count_start(start_limit& limit, instant now);

} // namespace apricotstile::serving

#endif
