// Accumulators for one latency.

#include <apricotstile/metrics/latency.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

namespace apricotstile::metrics {

namespace {

namespace acc = boost::accumulators;

using quantile_set =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using summary_set = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;

constexpr double median = 0.5;
constexpr double ninety_ninth = 0.99;

} // namespace

struct latency::figures {
    summary_set summary;
    quantile_set p50{acc::quantile_probability = median};
    quantile_set p99{acc::quantile_probability = ninety_ninth};
};

latency::latency() : self(std::make_unique<figures>()) {}

latency::~latency() = default;

void record(latency& target, duration value) {
    const double milliseconds =
        std::chrono::duration<double, std::milli>{value}.count();
    target.self->summary(milliseconds);
    target.self->p50(milliseconds);
    target.self->p99(milliseconds);
}

nlohmann::json to_json(const latency& value) {
    const std::size_t count = acc::count(value.self->summary);
    if (count == 0) {
        return {{"count", 0}};
    }
    return {
        {"count", count},
        {"mean_ms", acc::mean(value.self->summary)},
        {"max_ms", (acc::max)(value.self->summary)},
        {"p50_ms", acc::p_square_quantile(value.self->p50)},
        {"p99_ms", acc::p_square_quantile(value.self->p99)}};
}

} // namespace apricotstile::metrics
