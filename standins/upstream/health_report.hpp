// What GET /health tells: a load that lags, or a lie.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_HEALTH_REPORT_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_HEALTH_REPORT_HPP

#include <apricotstile/core/time.hpp>

#include <deque>
#include <string>
#include <utility>

namespace apricotstile::standins {

struct health_report {
    /// The load that is told is the one of this time ago.
    duration lag{0};
    /// Tells of no load at all, whatever there is.
    bool lies{false};
    /// In order of time; only the first may be older than `lag`.
    std::deque<std::pair<instant, double>> samples;
};

void note_load(health_report& health, double load, instant now);

/// The body of GET /health.
[[nodiscard]] std::string told(const health_report& health, instant now);

} // namespace apricotstile::standins

#endif
