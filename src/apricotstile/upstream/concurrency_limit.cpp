// Adaptive concurrency limit.

#include <apricotstile/upstream/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::upstream {

namespace {

constexpr double decrease_factor = 0.9;
constexpr double initial_share = 0.25;
/// Ratio of the mean to the unloaded service time above which the upstream
/// counts as overloaded.
constexpr double overload_ratio = 4;
constexpr int smoothing_divisor = 16;
constexpr duration min_decrease_interval = std::chrono::milliseconds{10};

void update_mean(duration& mean, duration sample) {
    if (mean == duration{0}) {
        mean = sample;
        return;
    }
    mean += (sample - mean) / smoothing_divisor;
}

bool is_slowed_down(const concurrency_limit& limit) {
    const auto mean = static_cast<double>(limit.mean_service_time.count());
    const auto unloaded =
        static_cast<double>(limit.unloaded_service_time.count());
    return unloaded > 0 && mean > overload_ratio * unloaded;
}

} // namespace

concurrency_limit
make_limit(std::uint32_t slots, duration warm_up, instant now) {
    concurrency_limit limit;
    limit.slots = std::max(1U, slots);
    limit.adaptive_limit = limit.slots;
    limit.warm_up_start = now;
    limit.warm_up = warm_up;
    return limit;
}

void restart_warm_up(concurrency_limit& limit, instant now) {
    limit = make_limit(limit.slots, limit.warm_up, now);
}

std::uint32_t allowed(const concurrency_limit& limit, instant now) {
    double share = 1;
    if (now - limit.warm_up_start < limit.warm_up) {
        const auto elapsed =
            static_cast<double>((now - limit.warm_up_start).count());
        const auto total = static_cast<double>(limit.warm_up.count());
        share = initial_share + (1 - initial_share) * elapsed / total;
    }
    const double max_limit =
        std::min(limit.adaptive_limit, limit.slots * share);
    return std::max(1U, static_cast<std::uint32_t>(std::floor(max_limit)));
}

void note_served(
    concurrency_limit& limit,
    duration service,
    std::uint32_t in_flight,
    instant now
) {
    update_mean(limit.mean_service_time, service);
    constexpr std::uint32_t light_load_divisor = 4;
    if (in_flight <= std::max(1U, limit.slots / light_load_divisor)) {
        update_mean(limit.unloaded_service_time, service);
    }
    if (is_slowed_down(limit)) {
        note_overload(limit, now);
        return;
    }
    const double max_limit = limit.slots;
    limit.adaptive_limit =
        std::min(max_limit, limit.adaptive_limit + 1 / limit.adaptive_limit);
}

void note_overload(concurrency_limit& limit, instant now) {
    if (now < limit.no_decrease_before) {
        return;
    }
    limit.adaptive_limit =
        std::max(1.0, limit.adaptive_limit * decrease_factor);
    limit.no_decrease_before =
        now + std::max(min_decrease_interval, limit.mean_service_time);
}

} // namespace apricotstile::upstream
