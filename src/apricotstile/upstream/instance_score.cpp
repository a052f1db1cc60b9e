// Scores instances by requests in flight, latency and success rate.

#include <apricotstile/upstream/internal/instance_score.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::upstream::internal {

namespace {

constexpr double initial_share = 0.25;
constexpr double success_rate_floor = 0.05;
/// Upper bound on how much the reported load raises a score: the report may
/// be stale or wrong.
constexpr double max_load_penalty = 0.25;
constexpr double min_latency_ns = 100000;

double decayed_latency_ns(
    const load_balancer_policy& policy, const instance& one, instant now
) {
    const auto age =
        static_cast<double>((now - one.latency_updated_at).count());
    const auto half_life =
        static_cast<double>(policy.latency_half_life.count());
    const auto mean = static_cast<double>(one.mean_latency.count());
    return std::max(min_latency_ns, mean * std::exp2(-age / half_life));
}

} // namespace

double warm_up_share(
    const load_balancer_policy& policy, const instance& one, instant now
) {
    const duration age = now - one.warm_up_start;
    if (age >= policy.warm_up) {
        return 1;
    }
    const auto elapsed = static_cast<double>(age.count());
    const auto total = static_cast<double>(policy.warm_up.count());
    return initial_share + (1 - initial_share) * elapsed / total;
}

bool is_eligible(
    const load_balancer_policy& policy,
    const instance& one,
    double slot_share,
    instant now
) {
    if (one.draining || now < one.ejected_until || now < one.saturated_until) {
        return false;
    }
    const double room =
        one.slots * slot_share * warm_up_share(policy, one, now);
    return one.in_flight < std::max(1.0, room);
}

double
score(const load_balancer_policy& policy, const instance& one, instant now) {
    if (policy.faults.chooses_at_random) {
        return 0;
    }
    if (policy.faults.trusts_reported_load) {
        return one.reported_load;
    }
    const double capacity = one.slots * warm_up_share(policy, one, now);
    const double load = (one.in_flight + 1) / capacity;
    if (policy.faults.ignores_outcomes) {
        return load;
    }
    const double hint = std::clamp(one.reported_load, 0.0, 1.0);
    return load * decayed_latency_ns(policy, one, now) *
           (1 + max_load_penalty * hint) /
           std::max(success_rate_floor, one.success_rate);
}

} // namespace apricotstile::upstream::internal
