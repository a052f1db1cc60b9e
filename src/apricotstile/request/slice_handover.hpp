// The memory of one slice as its owner sends it to the next owner.

#ifndef APRICOTSTILE_REQUEST_SLICE_HANDOVER_HPP
#define APRICOTSTILE_REQUEST_SLICE_HANDOVER_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/memory_record.hpp>

#include <vector>

namespace apricotstile::request {

/// A token whose tickets can be checked: the memory has a record of each key
/// that ran under it within the window.
struct handover_token {
    fencing_token token;
    /// How long ago the token's owner opened the slice.
    duration age{0};
    /// How long ago it released the slice.
    duration since_closed{0};
};

struct handover_record {
    record_id id;
    memory_record record;
    /// Time until the record may be evicted.
    duration time_left{0};
};

/// Sent only after the release is known to be committed: an earlier copy could
/// lack requests that the owner ran after a failed release.
struct slice_handover {
    service_id service;
    slice_id slice;
    /// The token that the release assigned to the next owner.
    fencing_token released_to;
    /// How much longer a key without a ticket may have run without a record.
    duration uncertain_time_left{0};
    std::vector<handover_token> tokens;
    std::vector<handover_record> records;
};

template <class Archive>
void serialize(Archive& archive, handover_token& value) {
    archive(value.token, value.age, value.since_closed);
}

template <class Archive>
void serialize(Archive& archive, handover_record& value) {
    archive(value.id, value.record, value.time_left);
}

template <class Archive>
void serialize(Archive& archive, slice_handover& value) {
    archive(value.service, value.slice, value.released_to);
    archive(value.uncertain_time_left, value.tokens, value.records);
}

} // namespace apricotstile::request

#endif
