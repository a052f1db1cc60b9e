// Limits of the work that one upstream is given.

#ifndef APRICOTSTILE_UPSTREAM_ADMISSION_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_ADMISSION_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::upstream {

/// Deliberate mistakes that show that the properties can fail. Only tests set
/// them.
struct admission_faults {
    bool skips_deadline_check{false};
    bool ignores_slots{false};
    bool serves_in_order_of_arrival{false};
    bool starts_while_draining{false};
    bool never_lets_lower_classes_through{false};
};

struct admission_policy {
    /// As the upstream announces them.
    std::uint32_t slots{16};
    std::uint32_t connections{120};
    /// Waiting requests of each class at most.
    std::size_t max_queued{256};
    /// A request that has waited this long is refused, and so is one whose
    /// wait is expected to be longer; never under twice the service time.
    duration max_wait{std::chrono::milliseconds{50}};
    /// While more important work waits, one start in this many still goes to
    /// each lower class that waits.
    std::uint32_t starts_per_lower_class{64};
    /// A cold upstream is given a quarter of its slots, rising to all of them
    /// over this time.
    duration warm_up{std::chrono::seconds{5}};
    admission_faults faults;
};

} // namespace apricotstile::upstream

#endif
