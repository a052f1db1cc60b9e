// How good an instance looks, and whether it may be chosen at all.

#ifndef APRICOTSTILE_UPSTREAM_INTERNAL_INSTANCE_SCORE_HPP
#define APRICOTSTILE_UPSTREAM_INTERNAL_INSTANCE_SCORE_HPP

#include <apricotstile/upstream/chooser_policy.hpp>
#include <apricotstile/upstream/instance.hpp>

namespace apricotstile::upstream::internal {

/// From a quarter for a cold instance to one.
[[nodiscard]] double
warmth(const chooser_policy& policy, const instance& one, instant now);

/// Whether `one` takes work while filled below `share` of its slots.
[[nodiscard]] bool is_eligible(
    const chooser_policy& policy, const instance& one, double share, instant now
);

/// Expected time of one more request, in arbitrary units; lower is better.
[[nodiscard]] double
score(const chooser_policy& policy, const instance& one, instant now);

} // namespace apricotstile::upstream::internal

#endif
