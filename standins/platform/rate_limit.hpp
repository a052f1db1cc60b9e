// A token bucket that bounds calls a second.

#ifndef APRICOTSTILE_STANDINS_PLATFORM_RATE_LIMIT_HPP
#define APRICOTSTILE_STANDINS_PLATFORM_RATE_LIMIT_HPP

#include <apricotstile/core/time.hpp>

namespace apricotstile::standins {

struct rate_limit {
    /// Calls a second, and the most that may come at once; zero: no limit.
    double per_second{0};
    /// Never above `per_second`.
    double available{0};
    instant refilled_at{};
};

[[nodiscard]] rate_limit make_rate_limit(double per_second, instant now);

/// Takes one call out of the bucket. False when the limit is reached.
[[nodiscard]] bool admit(rate_limit& limit, instant now);

} // namespace apricotstile::standins

#endif
