// Records of the idempotency keys of one slice.

#ifndef APRICOTSTILE_REQUEST_SLICE_MEMORY_HPP
#define APRICOTSTILE_REQUEST_SLICE_MEMORY_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/memory_record.hpp>

#include <deque>
#include <unordered_map>
#include <vector>

namespace apricotstile::request {

/// A token for which the memory is complete: each request that ran under it
/// has a record or is older than the window.
struct covered_token {
    fencing_token token;
    /// When that token's owner opened the slice, on this host's clock.
    instant opened;
    /// When it released the slice; the maximum instant for the owner's own
    /// token. No ticket was issued under the token after that.
    instant closed{instant::max()};
};

struct record_expiry {
    instant at;
    record_id id;
};

struct slice_memory {
    fencing_token token;
    /// Before this instant a key without a ticket may have run under an earlier
    /// owner whose records were lost.
    instant uncertain_until;
    /// The first is the owner's own token; the others come from a handover.
    std::vector<covered_token> covered_tokens;
    std::unordered_map<record_id, memory_record> records;
    /// Finished records in order of `at`; each has exactly one entry here.
    std::deque<record_expiry> expiries;
    /// True after a handover for `token` was applied.
    bool handover_applied{false};
    /// True while a release is in progress: no request begins.
    bool frozen{false};
};

} // namespace apricotstile::request

#endif
