// How much work an upstream gets at once: its announced slots, fewer while it
// is cold, and fewer while what it does shows that it can't take as many.

#ifndef APRICOTSTILE_UPSTREAM_CONCURRENCY_LIMIT_HPP
#define APRICOTSTILE_UPSTREAM_CONCURRENCY_LIMIT_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Additive increase, multiplicative decrease between one and `slots`.
struct concurrency_limit {
    std::uint32_t slots{1};
    double adaptive{1};
    /// Warms up from `cold_since` over `warm_up`.
    instant cold_since;
    duration warm_up{0};
    /// Mean service time; zero until the first.
    duration mean_service{0};
    /// Mean service time with few requests in flight; zero until known.
    duration unloaded_service{0};
    /// No second decrease before this instant.
    instant steady_until;
};

[[nodiscard]] concurrency_limit
make_limit(std::uint32_t slots, duration warm_up, instant now);

/// The upstream is cold again, after it restarted.
void restart_cold(concurrency_limit& limit, instant now);

/// How many requests may be in flight now; at least one.
[[nodiscard]] std::uint32_t
allowed(const concurrency_limit& limit, instant now);

/// A request was served in `service` beside `in_flight` others.
void note_served(
    concurrency_limit& limit,
    duration service,
    std::uint32_t in_flight,
    instant now
);

/// The upstream shed a request, or did not answer in time.
void note_overload(concurrency_limit& limit, instant now);

} // namespace apricotstile::upstream

#endif
