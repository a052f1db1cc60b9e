// When a request that was in flight at crashes is kept from upstreams.

#ifndef APRICOTSTILE_UPSTREAM_QUARANTINE_POLICY_HPP
#define APRICOTSTILE_UPSTREAM_QUARANTINE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::upstream {

/// Deliberate mistakes that show that the properties can fail. Only tests set
/// them.
struct quarantine_faults {
    bool blames_all_in_flight{false};
    bool runs_suspects_together{false};
    bool ignores_reports{false};
};

struct quarantine_policy {
    /// Crashes in a row, with no completion between, until it runs alone.
    std::uint32_t crashes_to_suspect{2};
    /// Crashes in a row, one of them alone, until it is refused. Also the most
    /// crashes that one request causes before `expiry`, as long as reports
    /// arrive between its resends; each other host where it was already
    /// running when the first reports came may add one.
    std::uint32_t crashes_to_refuse{3};
    /// After the last crash.
    duration expiry{std::chrono::minutes{30}};
    /// The least blamed are dropped beyond this.
    std::size_t max_entries{1024};
    quarantine_faults faults;
};

} // namespace apricotstile::upstream

#endif
