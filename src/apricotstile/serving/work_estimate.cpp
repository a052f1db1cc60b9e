// Winsorized means of logarithms, by route and by the values of one attribute.

#include <apricotstile/serving/work_estimate.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace apricotstile::serving {

namespace {

/// Deviations below this are taken for it: durations of milliseconds vary by
/// some percent even for equal requests.
constexpr double min_log_deviation = 0.1;
/// Assumed where no observation shows the deviation.
constexpr double unknown_log_deviation = 0.5;
/// Observations before they are limited: the deviation isn't known until then.
constexpr double min_limited_weight = 8;
/// Weight of the route's mean in that of a value with few observations.
constexpr double prior_weight = 4;
/// Observations that the errors and the share of the tail reach back to. With
/// 200, attributes of random values explained up to 0.061 of the variance by
/// chance in 20,000 observations.
constexpr double error_memory = 200;
/// Shorter durations are taken for this one.
constexpr double min_nanoseconds = 1000;
/// Longer ones are taken for this one, a day.
constexpr double max_nanoseconds = 86400e9;

double log_of(duration took) {
    return std::log(std::clamp(
        static_cast<double>(took.count()), min_nanoseconds, max_nanoseconds
    ));
}

duration from_log(double value) {
    const double bounded = std::min(std::exp(value), max_nanoseconds);
    return duration{static_cast<duration::rep>(bounded)};
}

double deviation_of(const log_moments& moments) {
    return std::max(min_log_deviation, std::sqrt(moments.variance));
}

/// `value`, no further from the mean than the policy allows.
double limited(
    const work_model_policy& policy, const log_moments& moments, double value
) {
    if (moments.weight < min_limited_weight) {
        return value;
    }
    const double reach = policy.max_deviations * deviation_of(moments);
    return std::clamp(value, moments.mean - reach, moments.mean + reach);
}

void add(const work_model_policy& policy, log_moments& moments, double value) {
    const double step = limited(policy, moments, value) - moments.mean;
    moments.weight = std::min(moments.weight + 1, policy.max_weight);
    const double gain = 1 / moments.weight;
    moments.mean += step * gain;
    moments.variance = (1 - gain) * (moments.variance + gain * step * step);
}

const value_statistics*
find_value(const std::vector<value_statistics>& values, std::uint64_t value) {
    const auto found = std::find_if(
        values.begin(),
        values.end(),
        [&](const value_statistics& one) {
            return one.value == value;
        }
    );
    return found == values.end() ? nullptr : &*found;
}

/// The moments by which an attribute predicts, or those of the route.
log_moments predicted(
    const work_model_policy& policy,
    const route_work& route,
    std::size_t attribute,
    std::uint64_t value
) {
    const value_statistics* const found =
        find_value(route.values.at(attribute), value);
    if (found == nullptr || found->moments.weight < policy.min_value_weight) {
        return route.moments;
    }
    log_moments result = found->moments;
    result.mean =
        (result.weight * result.mean + prior_weight * route.moments.mean) /
        (result.weight + prior_weight);
    return result;
}

log_moments prediction_in_use(
    const work_model& model,
    const route_work& route,
    const work_features& features
) {
    if (!route.used) {
        return route.moments;
    }
    const auto attribute = static_cast<std::size_t>(*route.used);
    return predicted(model.policy, route, attribute, features.at(attribute));
}

void add_value(
    const work_model_policy& policy,
    std::vector<value_statistics>& values,
    std::uint64_t value,
    double log_time
) {
    auto found = std::find_if(
        values.begin(),
        values.end(),
        [&](const value_statistics& one) {
            return one.value == value;
        }
    );
    if (found == values.end() && values.size() < policy.max_values) {
        values.push_back({value, 0, {}});
        found = values.end() - 1;
    } else if (found == values.end()) {
        found = std::min_element(
            values.begin(),
            values.end(),
            [](const value_statistics& left, const value_statistics& right) {
                return left.count < right.count;
            }
        );
        *found = {value, found->count, {}};
    }
    ++found->count;
    add(policy, found->moments, log_time);
}

/// Moves a mean over the last `error_memory` observations towards `value`.
void move_towards(double& mean, double value, double weight) {
    mean += (value - mean) / weight;
}

void note_errors(
    const work_model_policy& policy,
    route_work& route,
    const work_features& features,
    double log_time
) {
    // Limited as for the mean, so that the tail doesn't decide.
    const double value = limited(policy, route.moments, log_time);
    const auto square = [&](const log_moments& by) {
        return (value - by.mean) * (value - by.mean);
    };
    route.error_weight = std::min(route.error_weight + 1, error_memory);
    move_towards(route.route_error, square(route.moments), route.error_weight);
    for (std::size_t i = 0; i < work_attribute_count; ++i) {
        move_towards(
            route.attribute_errors.at(i),
            square(predicted(policy, route, i, features.at(i))),
            route.error_weight
        );
    }
}

void note_tail(
    const work_model& model,
    route_work& route,
    const work_features& features,
    double log_time
) {
    const log_moments by = prediction_in_use(model, route, features);
    const double excess = log_time - by.mean;
    const bool in_tail =
        excess > model.policy.max_deviations * deviation_of(by);
    move_towards(route.tail_share, in_tail ? 1 : 0, route.error_weight);
    if (in_tail) {
        constexpr double factor_memory = 16;
        route.tail_log_factor =
            route.tail_log_factor == 0
                ? excess
                : route.tail_log_factor +
                      (excess - route.tail_log_factor) / factor_memory;
    }
}

void choose_attribute(const work_model_policy& policy, route_work& route) {
    if (route.error_weight < policy.min_route_weight) {
        return;
    }
    work_attribute best = work_attribute::path;
    for (std::size_t i = 1; i < work_attribute_count; ++i) {
        const auto one = static_cast<work_attribute>(i);
        if (explained_share(route, one) > explained_share(route, best)) {
            best = one;
        }
    }
    const double best_share = explained_share(route, best);
    const double used_share =
        route.used ? explained_share(route, *route.used) : 0;
    const bool better = best_share > used_share + policy.switch_margin;
    if (best_share > policy.use_share && (!route.used || better)) {
        route.used = best;
    } else if (route.used && used_share < policy.drop_share) {
        route.used.reset();
    }
}

void halve_weights(route_work& route) {
    route.moments.weight /= 2;
    route.error_weight /= 2;
    for (auto& values : route.values) {
        for (value_statistics& one : values) {
            one.count /= 2;
            one.moments.weight /= 2;
        }
    }
}

void age(const work_model_policy& policy, route_work& route, instant now) {
    // After more half-lives nothing is left of a weight.
    constexpr int max_halvings = 10;
    int halvings = 0;
    while (now - route.aged_at >= policy.half_life && halvings < max_halvings) {
        halve_weights(route);
        route.aged_at += policy.half_life;
        ++halvings;
    }
    if (halvings == max_halvings) {
        route.aged_at = now;
    }
}

route_work& route_for(work_model& model, std::uint32_t route, instant now) {
    const auto found = model.routes.find(route);
    if (found != model.routes.end()) {
        return found->second;
    }
    if (model.routes.size() >= model.policy.max_routes) {
        model.routes.erase(std::min_element(
            model.routes.begin(),
            model.routes.end(),
            [](const auto& left, const auto& right) {
                return left.second.observed_at < right.second.observed_at;
            }
        ));
    }
    route_work added;
    added.aged_at = now;
    return model.routes.emplace(route, std::move(added)).first->second;
}

/// The probability that a standard normal variable exceeds `z`.
double normal_above(double z) {
    constexpr double sqrt_half = 0.7071067811865476;
    return std::erfc(z * sqrt_half) / 2;
}

/// A lognormal distribution's share above a time, and its mean there times this
/// share.
struct upper_part {
    double share{1};
    double total{0};
};

upper_part part_above(double log_mean, double deviation, double log_time) {
    const double z = (log_time - log_mean) / deviation;
    return {
        normal_above(z),
        std::exp(log_mean + deviation * deviation / 2) *
            normal_above(z - deviation)};
}

} // namespace

double explained_share(const route_work& route, work_attribute attribute) {
    const double error =
        route.attribute_errors.at(static_cast<std::size_t>(attribute));
    return route.route_error > 0 ? 1 - error / route.route_error : 0;
}

void observe_work(
    work_model& model,
    std::uint32_t route,
    const work_features& features,
    duration took,
    instant now
) {
    route_work& known = route_for(model, route, now);
    age(model.policy, known, now);
    known.observed_at = now;
    const double log_time = log_of(took);
    if (known.moments.weight >= min_limited_weight) {
        note_errors(model.policy, known, features, log_time);
        note_tail(model, known, features, log_time);
        choose_attribute(model.policy, known);
    }
    add(model.policy, known.moments, log_time);
    for (std::size_t i = 0; i < work_attribute_count; ++i) {
        add_value(model.policy, known.values.at(i), features.at(i), log_time);
    }
}

std::optional<work_estimate> estimate_work(
    const work_model& model, std::uint32_t route, const work_features& features
) {
    const auto found = model.routes.find(route);
    if (found == model.routes.end()) {
        return std::nullopt;
    }
    const log_moments by = prediction_in_use(model, found->second, features);
    const double deviation = by.weight < min_limited_weight
                                 ? unknown_log_deviation
                                 : deviation_of(by);
    work_estimate result;
    result.expected = from_log(by.mean + deviation * deviation / 2);
    result.spread.log_deviation = deviation;
    result.log_error = deviation / std::sqrt(std::max(by.weight, 1.0));
    result.spread.tail_share = found->second.tail_share;
    result.spread.tail_factor =
        std::exp(std::max(found->second.tail_log_factor, 0.0));
    return result;
}

std::optional<work_attribute>
used_attribute(const work_model& model, std::uint32_t route) {
    const auto found = model.routes.find(route);
    return found == model.routes.end() ? std::nullopt : found->second.used;
}

duration mean_work(const work_estimate& estimate) {
    const work_spread& spread = estimate.spread;
    return scaled(
        estimate.expected, 1 + spread.tail_share * (spread.tail_factor - 1)
    );
}

duration remaining_work(const work_estimate& estimate, duration elapsed) {
    const double deviation =
        estimate.spread.log_deviation > 0
            ? std::max(estimate.spread.log_deviation, min_log_deviation)
            : unknown_log_deviation;
    const double log_mean =
        log_of(estimate.expected) - deviation * deviation / 2;
    const double log_time = log_of(elapsed);
    const double tail_mean = log_mean + std::log(estimate.spread.tail_factor);
    const upper_part body = part_above(log_mean, deviation, log_time);
    const upper_part tail = part_above(tail_mean, deviation, log_time);
    const double share = estimate.spread.tail_share;
    const double above = (1 - share) * body.share + share * tail.share;
    const double time = std::exp(log_time);
    // Far above all observations both shares vanish; a lognormal duration's
    // remainder then grows with the time that it has run for.
    constexpr double min_share = 1e-12;
    if (above < min_share) {
        const double z = (log_time - std::max(log_mean, tail_mean)) / deviation;
        return from_log(std::log(time * deviation / std::max(z, 1.0)));
    }
    const double total = (1 - share) * body.total + share * tail.total;
    return from_log(std::log(std::max(total / above - time, min_nanoseconds)));
}

} // namespace apricotstile::serving
