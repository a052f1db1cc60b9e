// Moving means of how long an instance works on each route's requests, and of
// how many it fails.

#ifndef APRICOTSTILE_SERVING_SERVICE_TIMES_HPP
#define APRICOTSTILE_SERVING_SERVICE_TIMES_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <unordered_map>

namespace apricotstile::serving {

struct service_times {
    /// By hash of the route's name.
    std::unordered_map<std::uint32_t, duration> route_means;
    /// Over all requests; zero before the first.
    duration overall_mean{0};
    /// The part of the answers that were failures, at `failing_at`. It is
    /// halved after each half-life, so that an instance is tried again that
    /// gets no requests for its failures.
    double failure_ratio{0};
    instant failure_ratio_at;
    static constexpr duration failure_half_life{std::chrono::seconds{4}};
};

/// What a part of failures counts as, some time after it was `seen`.
[[nodiscard]] double decayed_failure_ratio(double ratio, instant seen, instant now);

/// An answer came; a failure says nothing of how long requests take.
void record_result(service_times& times, bool failed, instant now);

/// The part of failures as it counts now.
[[nodiscard]] double failure_ratio_now(const service_times& times, instant now);

void record_service_time(service_times& times, std::uint32_t route, duration took);

/// The mean of `route`, else the mean of all, else `fallback`.
[[nodiscard]] duration
expected_service_time(const service_times& times, std::uint32_t route, duration fallback);

} // namespace apricotstile::serving

#endif
