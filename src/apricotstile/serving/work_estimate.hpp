// Expected work of a request, learned from the service times seen at one
// instance. Requests of a route may differ widely in work, while one attribute
// that is visible before they run often tells them apart: with the mean of all,
// short requests are refused as if they were long, and long ones start too late
// to be useful. One request in thirty that takes seven times as long must
// neither shift the expectation of the others nor make the instance look slow.

#ifndef APRICOTSTILE_SERVING_WORK_ESTIMATE_HPP
#define APRICOTSTILE_SERVING_WORK_ESTIMATE_HPP

#include <apricotstile/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace apricotstile::serving {

/// What is visible of a request before it runs.
enum class work_attribute : std::uint8_t {
    /// Method and path prefix.
    path,
    key_range,
    /// As a power of two.
    body_size,
    /// Service beside the daemon that the request came in at.
    origin
};

inline constexpr std::size_t work_attribute_count = 4;

/// The value of each attribute, in the order of `work_attribute`: a hash or a
/// small number.
using work_features = std::array<std::uint64_t, work_attribute_count>;

/// How far durations differ from the expected one.
struct work_spread {
    /// Standard deviation of the logarithm of the duration, without the tail.
    /// Zero if it isn't known.
    double log_deviation{0};
    /// Share of requests that take far longer, and how many times as long.
    double tail_share{0};
    double tail_factor{1};
};

struct work_estimate {
    /// Mean duration without the tail.
    duration expected{0};
    work_spread spread;
    /// Standard error of the logarithm of `expected`.
    double log_error{0};
};

struct work_model_policy {
    /// Routes of which observations are kept; the one that wasn't observed for
    /// the longest time is replaced.
    std::size_t max_routes{512};
    /// Values kept for each attribute of a route; the least frequent one is
    /// replaced (space-saving counters).
    std::size_t max_values{16};
    /// Observations that a mean reaches back to.
    double max_weight{64};
    /// Weights are halved after this time, so that old observations count less
    /// where few new ones arrive.
    duration half_life{std::chrono::minutes{5}};
    /// Observations are limited to this many deviations from the mean.
    double max_deviations{2.5};
    /// A value's own mean is used from this many observations on.
    double min_value_weight{8};
    /// Observations of a route before an attribute is used.
    double min_route_weight{40};
    /// An attribute is used once it explains more than this share of the
    /// variance. By chance, attributes of random values reached 0.061.
    double use_share{0.15};
    /// It is no longer used once it explains less than this.
    double drop_share{0.05};
    /// Another attribute replaces it if it explains this much more.
    double switch_margin{0.1};
};

/// Mean and variance of logarithms; recent observations count more.
struct log_moments {
    double weight{0};
    double mean{0};
    double variance{0};
};

struct value_statistics {
    std::uint64_t value{0};
    /// Space-saving count; too high by that of the value replaced at most.
    double count{0};
    log_moments moments;
};

struct route_work {
    log_moments moments;
    /// The values of each attribute; bounded.
    std::array<std::vector<value_statistics>, work_attribute_count> values;
    /// Mean square of the errors made by the route's mean, and of those that
    /// each attribute would have made. Measured before an observation is
    /// learned, so values that are seen once explain nothing.
    double route_error{0};
    std::array<double, work_attribute_count> attribute_errors{};
    /// Observations that the errors comprise.
    double error_weight{0};
    std::optional<work_attribute> used;
    double tail_share{0};
    /// Mean logarithm of how much longer the tail takes.
    double tail_log_factor{0};
    instant aged_at;
    instant observed_at;
};

struct work_model {
    work_model_policy policy;
    /// By hash of the route's name.
    std::unordered_map<std::uint32_t, route_work> routes;
};

/// Learns that a request took `took`. Don't call it for failures, which don't
/// show how long requests take.
void observe_work(
    work_model& model,
    std::uint32_t route,
    const work_features& features,
    duration took,
    instant now
);

/// Empty if nothing is known of the route.
[[nodiscard]] std::optional<work_estimate> estimate_work(
    const work_model& model, std::uint32_t route, const work_features& features
);

/// The attribute that tells the route's requests apart, if any.
[[nodiscard]] std::optional<work_attribute>
used_attribute(const work_model& model, std::uint32_t route);

/// The share of the variance of the route's logarithmic durations that an
/// attribute explains; negative if its values predict worse than the mean.
[[nodiscard]] double
explained_share(const route_work& route, work_attribute attribute);

/// Mean duration with the tail. Of several requests one after the other some
/// are in the tail, so their sum is expected by this.
[[nodiscard]] duration mean_work(const work_estimate& estimate);

/// Expected remainder of a request that has run for `elapsed`: a lognormal
/// duration or, the more likely the longer it has run, one of the tail.
[[nodiscard]] duration
remaining_work(const work_estimate& estimate, duration elapsed);

} // namespace apricotstile::serving

#endif
