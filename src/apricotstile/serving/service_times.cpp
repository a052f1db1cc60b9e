// Exponentially weighted means.

#include <apricotstile/serving/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// One observation moves a mean by this part of the difference.
constexpr int smoothing = 16;

void move_mean(duration& mean, duration seen) {
    mean = mean == duration{0} ? seen : mean + (seen - mean) / smoothing;
}

/// One answer moves the part of failures by this part of the difference.
constexpr double failure_smoothing = 1.0 / 12;

} // namespace

double faded_failures(double part, instant seen, instant now) {
    const std::chrono::duration<double> passed = now - seen;
    const std::chrono::duration<double> half_life =
        service_times::failing_half_life;
    return part * std::exp2(-std::max(0.0, passed / half_life));
}

double failing_part(const service_times& times, instant now) {
    return faded_failures(times.failing, times.failing_at, now);
}

void record_result(service_times& times, bool failed, instant now) {
    const double before = failing_part(times, now);
    times.failing = before + ((failed ? 1 : 0) - before) * failure_smoothing;
    times.failing_at = now;
}

void record(service_times& times, std::uint32_t route, duration took) {
    move_mean(times.overall, took);
    move_mean(times.means[route], took);
}

duration
expected(const service_times& times, std::uint32_t route, duration fallback) {
    const auto found = times.means.find(route);
    if (found != times.means.end()) {
        return found->second;
    }
    return times.overall == duration{0} ? fallback : times.overall;
}

} // namespace apricotstile::serving
