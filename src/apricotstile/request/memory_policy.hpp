// Limits of an owner's memory of idempotency keys.

#ifndef APRICOTSTILE_REQUEST_MEMORY_POLICY_HPP
#define APRICOTSTILE_REQUEST_MEMORY_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>

namespace apricotstile::request {

/// Injected faults, used to check that the property tests detect them. Only
/// tests set them.
struct memory_faults {
    /// Accepts a ticket of any token up to the owner's own.
    bool trusts_older_tickets{false};
    /// Accepts a ticket that is older than the window.
    bool ignores_ticket_age{false};
    /// Accepts keys without a ticket after an earlier owner's memory was lost.
    bool runs_without_ticket_after_loss{false};
    /// Evicts the oldest record when full, before its window has ended.
    bool evicts_when_full{false};
    /// Leaves the records out of a handover.
    bool hands_over_nothing{false};
};

struct memory_policy {
    /// How long a finished key is remembered, how long a ticket is valid, and
    /// how long callers may resend a key that has no ticket.
    duration window{std::chrono::minutes{5}};
    /// Maximum number of keys over all slices, including running ones.
    std::size_t max_records{131072};
    /// Maximum bytes of kept answers over all slices.
    std::size_t max_answer_bytes{std::size_t{32} << 20U};
    /// Maximum bytes of one kept answer. A larger one is returned to the caller
    /// but not kept; its replay is `unknown`.
    std::size_t max_kept_answer{std::size_t{64} << 10U};
    memory_faults faults;
};

} // namespace apricotstile::request

#endif
