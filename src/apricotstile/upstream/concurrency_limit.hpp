// Limit on concurrent requests to an upstream: its announced slots, reduced
// during warm-up and while shed requests or service times show overload.

#ifndef APRICOTSTILE_UPSTREAM_CONCURRENCY_LIMIT_HPP
#define APRICOTSTILE_UPSTREAM_CONCURRENCY_LIMIT_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Additive increase, multiplicative decrease (AIMD) between one and `slots`.
struct concurrency_limit {
    std::uint32_t slots{1};
    double adaptive_limit{1};
    /// The warm-up begins at `warm_up_start` and lasts for `warm_up`.
    instant warm_up_start;
    duration warm_up{0};
    /// Moving average of service times; zero until the first sample.
    duration mean_service_time{0};
    /// Moving average with few requests in flight; zero until the first
    /// sample.
    duration unloaded_service_time{0};
    /// The limit isn't decreased again before this time.
    instant no_decrease_before;
};

[[nodiscard]] concurrency_limit
make_limit(std::uint32_t slots, duration warm_up, instant now);

/// Resets the limit after a restart of the upstream, with a new warm-up.
void restart_warm_up(concurrency_limit& limit, instant now);

/// Number of requests that may be in flight at `now`; at least one.
[[nodiscard]] std::uint32_t
allowed(const concurrency_limit& limit, instant now);

/// Records a request that took `service` with `in_flight` others running.
void note_served(
    concurrency_limit& limit,
    duration service,
    std::uint32_t in_flight,
    instant now
);

/// Decreases the limit: the upstream shed a request or did not answer in time,
/// or service times show overload.
void note_overload(concurrency_limit& limit, instant now);

} // namespace apricotstile::upstream

#endif
