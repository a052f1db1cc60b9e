// Settings for choosing an instance of an unsharded service.

#ifndef APRICOTSTILE_UPSTREAM_LOAD_BALANCER_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_LOAD_BALANCER_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Injected faults: tests set them to check that the property tests detect
/// them, benchmarks to compare with simpler load balancers. All are false in
/// production.
struct load_balancer_faults {
    bool ejects_without_limit{false};
    bool trusts_reported_load{false};
    bool ignores_link_budget{false};
    bool ignores_regions{false};
    bool ignores_outcomes{false};
    bool chooses_at_random{false};
};

struct load_balancer_policy {
    /// Requests spill over from instances in the same failure domain to the
    /// rest of the region when the requests of this daemon use more than this
    /// share of an instance's slots.
    double spillover_share{0.75};
    /// How long no requests are sent to an instance that has shed one, unless
    /// it asks for a shorter time.
    duration saturation_backoff{std::chrono::milliseconds{50}};
    /// Slow start: the share of slots used at new instances and at instances
    /// that return from ejection rises over this time.
    duration warm_up{std::chrono::seconds{5}};
    /// Instances with a lower success rate are ejected ...
    double min_success_rate{0.5};
    /// ... after at least this many outcomes ...
    std::uint32_t min_outcomes{10};
    /// ... but never more than this share of a service's instances.
    double max_ejected_share{1.0 / 3};
    /// Duration of the first ejection. Each further ejection lasts longer by
    /// the same amount, up to six times this value.
    duration base_ejection_time{std::chrono::seconds{10}};
    /// Without new samples, the weight of the mean latency halves after this
    /// time.
    duration latency_half_life{std::chrono::seconds{10}};
    load_balancer_faults faults;
};

} // namespace apricotstile::upstream

#endif
