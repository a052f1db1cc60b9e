// Settings of admission control for one upstream.

#ifndef APRICOTSTILE_UPSTREAM_ADMISSION_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_ADMISSION_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::upstream {

/// Injected faults. Tests set them to check that the property tests detect
/// them; all are false in production.
struct admission_faults {
    bool skips_deadline_check{false};
    bool ignores_slots{false};
    bool serves_in_arrival_order{false};
    bool starts_while_draining{false};
    bool starves_lower_classes{false};
};

struct admission_policy {
    /// Limits as announced by the upstream.
    std::uint32_t slots{16};
    std::uint32_t connections{120};
    /// Maximum number of queued requests per class.
    std::size_t max_queued{256};
    /// Maximum queueing time, or twice the mean service time if that is
    /// longer. A request that was queued this long is shed, and so is a new
    /// one whose expected wait is longer.
    duration queue_timeout{std::chrono::milliseconds{50}};
    /// Starvation limit: a class with queued requests is served next after
    /// this many starts of other classes.
    std::uint32_t max_skipped_starts{64};
    /// Slow start: a restarted upstream is given a quarter of its slots,
    /// rising to all of them over this time.
    duration warm_up{std::chrono::seconds{5}};
    admission_faults faults;
};

} // namespace apricotstile::upstream

#endif
