// Thresholds for quarantining requests that were in flight at crashes.

#ifndef APRICOTSTILE_UPSTREAM_QUARANTINE_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_QUARANTINE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::upstream {

/// Injected faults. Tests set them to check that the property tests detect
/// them; all are false in production.
struct quarantine_faults {
    bool refuses_all_in_flight{false};
    bool runs_suspects_together{false};
    bool ignores_reports{false};
    /// Requests that were given up before a crash count as running.
    bool counts_given_up{false};
    bool ignores_records{false};
};

struct quarantine_policy {
    /// Consecutive crashes, with no completion between them, after which a
    /// request runs alone.
    std::uint32_t crashes_to_suspect{2};
    /// Consecutive crashes, at least one of them while running alone, after
    /// which a request is refused. This also bounds the crashes that one
    /// request causes before `expiry`, provided that reports arrive between
    /// its retries; one more if the first senders all are the same. Each other
    /// host where it was already running when the
    /// first reports arrived may add one.
    std::uint32_t crashes_to_refuse{3};
    /// A content is refused whoever sends it once this many senders' requests
    /// were in flight at its crashes. Until then each sender's own crashes
    /// count, since the crash may depend on the sender.
    std::size_t senders_to_refuse{2};
    /// Time after the last crash at which the counts expire.
    duration expiry{std::chrono::minutes{30}};
    /// Above this number, entries with the fewest crashes are evicted.
    std::size_t max_entries{1024};
    quarantine_faults faults;
};

} // namespace apricotstile::upstream

#endif
