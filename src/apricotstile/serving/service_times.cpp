// Exponentially weighted moving averages.

#include <apricotstile/serving/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// Inverse weight of one observation in a mean.
constexpr int mean_smoothing = 16;

void update_mean(duration& mean, duration seen) {
    mean = mean == duration{0} ? seen : mean + (seen - mean) / mean_smoothing;
}

/// Weight of one answer in the share of failures.
constexpr double failure_smoothing = 1.0 / 12;

} // namespace

double decayed_failure_ratio(double ratio, instant seen, instant now) {
    const std::chrono::duration<double> passed = now - seen;
    const std::chrono::duration<double> half_life =
        service_times::failure_half_life;
    return ratio * std::exp2(-std::max(0.0, passed / half_life));
}

double failure_ratio_now(const service_times& times, instant now) {
    return decayed_failure_ratio(
        times.failure_ratio, times.failure_ratio_at, now
    );
}

void record_result(service_times& times, bool failed, instant now) {
    const double before = failure_ratio_now(times, now);
    times.failure_ratio =
        before + ((failed ? 1 : 0) - before) * failure_smoothing;
    times.failure_ratio_at = now;
}

void record_service_time(service_times& times, duration took) {
    update_mean(times.overall_mean, took);
}

} // namespace apricotstile::serving
