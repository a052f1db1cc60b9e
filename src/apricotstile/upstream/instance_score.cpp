// Scores instances by requests in flight, latency and success rate.

#include <apricotstile/upstream/internal/instance_score.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::upstream::internal {

namespace {

constexpr double cold_share = 0.25;
constexpr double least_success_counted = 0.05;
/// Upper bound on how much the reported load raises a score: the report may
/// be stale or wrong.
constexpr double most_hinted = 0.25;
constexpr double least_latency_ns = 100000;

double aged_latency_ns(
    const chooser_policy& policy, const instance& one, instant now
) {
    const auto age = static_cast<double>((now - one.latency_seen).count());
    const auto half = static_cast<double>(policy.latency_half_life.count());
    const auto mean = static_cast<double>(one.mean_latency.count());
    return std::max(least_latency_ns, mean * std::exp2(-age / half));
}

} // namespace

double warmth(const chooser_policy& policy, const instance& one, instant now) {
    const duration age = now - one.warm_since;
    if (age >= policy.warm_up) {
        return 1;
    }
    const auto warm = static_cast<double>(age.count());
    const auto whole = static_cast<double>(policy.warm_up.count());
    return cold_share + (1 - cold_share) * warm / whole;
}

bool is_eligible(
    const chooser_policy& policy, const instance& one, double share, instant now
) {
    if (one.draining || now < one.ejected_until || now < one.saturated_until) {
        return false;
    }
    const double room = one.slots * share * warmth(policy, one, now);
    return one.in_flight < std::max(1.0, room);
}

double score(const chooser_policy& policy, const instance& one, instant now) {
    if (policy.faults.chooses_at_random) {
        return 0;
    }
    if (policy.faults.trusts_hints) {
        return one.reported_load;
    }
    const double capacity = one.slots * warmth(policy, one, now);
    const double load = (one.in_flight + 1) / capacity;
    if (policy.faults.ignores_outcomes) {
        return load;
    }
    const double hint = std::clamp(one.reported_load, 0.0, 1.0);
    return load * aged_latency_ns(policy, one, now) * (1 + most_hinted * hint) /
           std::max(least_success_counted, one.success);
}

} // namespace apricotstile::upstream::internal
