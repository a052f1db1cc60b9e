// The keys remembered for one slice.

#ifndef APRICOTSTILE_REQUEST_SLICE_MEMORY_HPP
#define APRICOTSTILE_REQUEST_SLICE_MEMORY_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/memory_record.hpp>

#include <deque>
#include <unordered_map>
#include <vector>

namespace apricotstile::request {

/// A token whose every run is in the memory or older than the window.
struct vouched_token {
    fencing_token token;
    /// When that token's owner opened the slice, on this host's clock.
    instant opened;
    /// When it released the slice; in the far future for the own token. Its
    /// last ticket was issued by then.
    instant closed{instant::max()};
};

struct record_expiry {
    instant at;
    record_id id;
};

struct slice_memory {
    fencing_token token;
    /// Before this instant a key without a ticket may be one whose record was
    /// lost with an earlier owner.
    instant doubt_until;
    /// The first is the owner's own token; the others were handed over.
    std::vector<vouched_token> vouched;
    std::unordered_map<record_id, memory_record> records;
    /// Finished records in order of `at`; each has exactly one entry here.
    std::deque<record_expiry> expiries;
    /// True once a hand-over for `token` was taken in.
    bool handed_over{false};
    /// True while a release is on its way: nothing begins.
    bool frozen{false};
};

} // namespace apricotstile::request

#endif
