// Running figures of a latency, by Boost.Accumulators.

#ifndef APRICOTSTILE_METRICS_LATENCY_HPP
#define APRICOTSTILE_METRICS_LATENCY_HPP

#include <apricotstile/core/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace apricotstile::metrics {

/// Count, mean, greatest value and estimated quantiles since the start.
class latency {
public:
    latency();
    latency(const latency&) = delete;
    latency& operator=(const latency&) = delete;
    ~latency();

    struct figures;
    std::unique_ptr<figures> self;
};

void record(latency& target, duration value);

/// {"count", "mean_ms", "max_ms", "p50_ms", "p99_ms"}.
[[nodiscard]] nlohmann::json to_json(const latency& value);

} // namespace apricotstile::metrics

#endif
