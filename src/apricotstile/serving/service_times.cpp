// Exponentially weighted means.

#include <apricotstile/serving/service_times.hpp>

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

void record_result(service_times& times, bool failed) {
    times.failing += ((failed ? 1 : 0) - times.failing) * failure_smoothing;
}

void record(service_times& times, const std::string& route, duration took) {
    move_mean(times.overall, took);
    move_mean(times.means[route], took);
}

duration expected(
    const service_times& times, const std::string& route, duration fallback
) {
    const auto found = times.means.find(route);
    if (found != times.means.end()) {
        return found->second;
    }
    return times.overall == duration{0} ? fallback : times.overall;
}

} // namespace apricotstile::serving
