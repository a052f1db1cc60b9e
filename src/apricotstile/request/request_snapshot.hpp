// Snapshots for dumps and metrics: requests at the ingress, and the owner's
// memory.

#ifndef APRICOTSTILE_REQUEST_REQUEST_SNAPSHOT_HPP
#define APRICOTSTILE_REQUEST_REQUEST_SNAPSHOT_HPP

#include <apricotstile/request/ingress.hpp>
#include <apricotstile/request/owner_memory.hpp>

#include <vector>

namespace apricotstile::request {

/// One open request.
struct attempt_line {
    request_id id;
    attempt_state state{attempt_state::routing};
    host_id host;
    std::uint32_t sends{0};
    bool may_have_run{false};
    duration time_left{0};
    request::journal journal;
};

struct ingress_snapshot {
    /// In order of arrival.
    std::vector<attempt_line> attempts;
    std::uint32_t retries_saved{0};
    bool stopping{false};
    ingress_counters counters;
};

[[nodiscard]] ingress_snapshot describe(const ingress& state, instant now);

struct memory_snapshot {
    std::size_t slices{0};
    std::size_t slices_in_doubt{0};
    std::size_t slices_frozen{0};
    std::size_t records{0};
    std::size_t answer_bytes{0};
    std::uint64_t replays{0};
    std::uint64_t refused_forgotten{0};
    std::uint64_t refused_full{0};
    std::uint64_t answers_not_kept{0};
};

[[nodiscard]] memory_snapshot describe(const owner_memory& memory, instant now);

} // namespace apricotstile::request

#endif
