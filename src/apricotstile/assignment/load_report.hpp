// Message with which an owner reports the load of its ranges to the planner.

#ifndef APRICOTSTILE_ASSIGNMENT_LOAD_REPORT_HPP
#define APRICOTSTILE_ASSIGNMENT_LOAD_REPORT_HPP

#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/codec.hpp>
#include <apricotstile/member/member_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::assignment {

/// Requests per second of one slice, without those of its key exceptions.
struct slice_load {
    slice_id slice;
    float requests_per_second{0};
};

/// Requests per second of one key. May be too high by the sketch's error, never
/// too low.
struct key_load {
    std::string key;
    float requests_per_second{0};
};

struct service_load {
    service_id service;
    std::vector<slice_load> slices;
    /// The hottest keys, hottest first. Always includes the key exceptions.
    std::vector<key_load> keys;
};

/// Sent to the planner every few seconds. Replaces the sender's previous
/// report.
struct load_report {
    member::member_ref from;
    std::vector<service_load> services;
};

template <class Archive>
void serialize(Archive& archive, slice_load& value) {
    archive(value.slice, value.requests_per_second);
}

template <class Archive>
void serialize(Archive& archive, key_load& value) {
    archive(value.key, value.requests_per_second);
}

template <class Archive>
void serialize(Archive& archive, service_load& value) {
    archive(value.service, value.slices, value.keys);
}

template <class Archive>
void serialize(Archive& archive, load_report& value) {
    archive(value.from, value.services);
}

} // namespace apricotstile::assignment

#endif
