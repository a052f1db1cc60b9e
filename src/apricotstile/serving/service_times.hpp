// Moving averages of an instance's service time over all requests, and of its
// share of failed answers.

#ifndef APRICOTSTILE_SERVING_SERVICE_TIMES_HPP
#define APRICOTSTILE_SERVING_SERVICE_TIMES_HPP

#include <apricotstile/core/time.hpp>

namespace apricotstile::serving {

struct service_times {
    /// Over all requests; zero before the first.
    duration overall_mean{0};
    /// Share of failed answers as of `failure_ratio_at`. It is halved after
    /// each half-life, so that an instance which gets no requests because of
    /// its failures is tried again.
    double failure_ratio{0};
    instant failure_ratio_at;
    static constexpr duration failure_half_life{std::chrono::seconds{4}};
};

/// The share of failures `ratio`, recorded at `seen`, decayed until `now`.
[[nodiscard]] double
decayed_failure_ratio(double ratio, instant seen, instant now);

/// Records whether an answer was a failure. The service time of a failure isn't
/// recorded, since it doesn't show how long requests take.
void record_result(service_times& times, bool failed, instant now);

/// The share of failures, decayed until `now`.
[[nodiscard]] double failure_ratio_now(const service_times& times, instant now);

void record_service_time(service_times& times, duration took);

} // namespace apricotstile::serving

#endif
