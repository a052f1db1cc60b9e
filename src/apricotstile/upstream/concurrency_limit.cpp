// Adaptive concurrency limit.

#include <apricotstile/upstream/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::upstream {

namespace {

constexpr double decrease_factor = 0.9;
constexpr double cold_share = 0.25;
/// Ratio of the mean to the unloaded service time above which the upstream
/// counts as overloaded.
constexpr double overload_ratio = 4;
constexpr int mean_weight = 16;
constexpr duration least_steady_time = std::chrono::milliseconds{10};

void move_mean(duration& mean, duration sample) {
    if (mean == duration{0}) {
        mean = sample;
        return;
    }
    mean += (sample - mean) / mean_weight;
}

bool is_slowed_down(const concurrency_limit& limit) {
    const auto mean = static_cast<double>(limit.mean_service.count());
    const auto best = static_cast<double>(limit.unloaded_service.count());
    return best > 0 && mean > overload_ratio * best;
}

} // namespace

concurrency_limit
make_limit(std::uint32_t slots, duration warm_up, instant now) {
    concurrency_limit limit;
    limit.slots = std::max(1U, slots);
    limit.adaptive = limit.slots;
    limit.cold_since = now;
    limit.warm_up = warm_up;
    return limit;
}

void restart_cold(concurrency_limit& limit, instant now) {
    limit = make_limit(limit.slots, limit.warm_up, now);
}

std::uint32_t allowed(const concurrency_limit& limit, instant now) {
    double share = 1;
    if (now - limit.cold_since < limit.warm_up) {
        const auto warm = static_cast<double>((now - limit.cold_since).count());
        const auto whole = static_cast<double>(limit.warm_up.count());
        share = cold_share + (1 - cold_share) * warm / whole;
    }
    const double most = std::min(limit.adaptive, limit.slots * share);
    return std::max(1U, static_cast<std::uint32_t>(std::floor(most)));
}

void note_served(
    concurrency_limit& limit,
    duration service,
    std::uint32_t in_flight,
    instant now
) {
    move_mean(limit.mean_service, service);
    constexpr std::uint32_t few = 4;
    if (in_flight <= std::max(1U, limit.slots / few)) {
        move_mean(limit.unloaded_service, service);
    }
    if (is_slowed_down(limit)) {
        note_overload(limit, now);
        return;
    }
    const double most = limit.slots;
    limit.adaptive = std::min(most, limit.adaptive + 1 / limit.adaptive);
}

void note_overload(concurrency_limit& limit, instant now) {
    if (now < limit.steady_until) {
        return;
    }
    limit.adaptive = std::max(1.0, limit.adaptive * decrease_factor);
    limit.steady_until = now + std::max(least_steady_time, limit.mean_service);
}

} // namespace apricotstile::upstream
