// Eligibility and load balancing score of an instance.

#ifndef APRICOTSTILE_UPSTREAM_INTERNAL_INSTANCE_SCORE_HPP
#define APRICOTSTILE_UPSTREAM_INTERNAL_INSTANCE_SCORE_HPP

#include <apricotstile/upstream/instance.hpp>
#include <apricotstile/upstream/load_balancer_policy.hpp>

namespace apricotstile::upstream::internal {

/// Share of its slots that an instance is given during warm-up: rises linearly
/// from 0.25 to 1.
[[nodiscard]] double warm_up_share(
    const load_balancer_policy& policy, const instance& one, instant now
);

/// Whether `one` may take another request when at most `slot_share` of its
/// slots may be in use.
[[nodiscard]] bool is_eligible(
    const load_balancer_policy& policy,
    const instance& one,
    double slot_share,
    instant now
);

/// Estimated cost of one more request, in arbitrary units; lower is better.
[[nodiscard]] double
score(const load_balancer_policy& policy, const instance& one, instant now);

} // namespace apricotstile::upstream::internal

#endif
