// How an instance is chosen for services that aren't divided by key.

#ifndef APRICOTSTILE_UPSTREAM_CHOOSER_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_CHOOSER_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Deliberate mistakes that show that the properties can fail, and the
/// routers that the benchmark compares with. Elsewhere they stay false.
struct chooser_faults {
    bool ejects_without_limit{false};
    bool trusts_hints{false};
    bool ignores_link_budget{false};
    bool ignores_regions{false};
    bool ignores_outcomes{false};
    bool chooses_at_random{false};
};

struct chooser_policy {
    /// An instance of the own failure domain is passed over for one of the
    /// region beyond this share of its slots, as far as this daemon fills it.
    double busy_share{0.75};
    /// After an instance has shed a request, unless it names a shorter time.
    duration saturated_time{std::chrono::milliseconds{50}};
    /// New and returning instances get a growing share over this time.
    duration warm_up{std::chrono::seconds{5}};
    /// Ejected are instances with a lower share of successes ...
    double least_success{0.5};
    /// ... over at least this many outcomes ...
    std::uint32_t least_outcomes{10};
    /// ... and never more than this share of a service's instances.
    double most_ejected{1.0 / 3};
    /// Of the first ejection; each further one adds as much, six times at
    /// most.
    duration ejection_time{std::chrono::seconds{10}};
    /// An old latency counts half after this time without a newer one.
    duration latency_half_life{std::chrono::seconds{10}};
    chooser_faults faults;
};

} // namespace apricotstile::upstream

#endif
