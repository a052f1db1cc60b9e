// Draws service times.

#include <standins/upstream/service_time.hpp>

#include <random>
#include <stdexcept>

namespace apricotstile::standins {

namespace {

/// Spread of the logarithm; the 99th percentile is about four times the mean.
constexpr double lognormal_sigma = 0.75;

double draw_relative(distribution shape, random_source& random) {
    switch (shape) {
    case distribution::exponential:
        return std::exponential_distribution<double>{1.0}(random);
    case distribution::lognormal: {
        constexpr double mu = -lognormal_sigma * lognormal_sigma / 2;
        return std::lognormal_distribution<double>{mu, lognormal_sigma}(random);
    }
    case distribution::fixed:
        break;
    }
    return 1.0;
}

double warm_up_factor(const service_time& times, duration age) {
    if (age >= times.cold_for) {
        return 1.0;
    }
    const double left = 1.0 - static_cast<double>(age.count()) /
                                  static_cast<double>(times.cold_for.count());
    return 1.0 + (times.cold_factor - 1.0) * left;
}

} // namespace

distribution parse_distribution(const std::string& name) {
    if (name == "fixed") {
        return distribution::fixed;
    }
    if (name == "exponential") {
        return distribution::exponential;
    }
    if (name == "lognormal") {
        return distribution::lognormal;
    }
    throw std::invalid_argument("unknown distribution '" + name + "'");
}

duration draw(const service_time& times, duration age, random_source& random) {
    const double factor =
        draw_relative(times.shape, random) * warm_up_factor(times, age);
    const double drawn = static_cast<double>(times.mean.count()) * factor;
    return duration{static_cast<duration::rep>(drawn)};
}

} // namespace apricotstile::standins
