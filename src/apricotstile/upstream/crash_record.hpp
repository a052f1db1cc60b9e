// Crash counts of one request, combined from all daemons. They are kept twice:
// by content and sender, and by content alone.

#ifndef APRICOTSTILE_UPSTREAM_CRASH_RECORD_HPP
#define APRICOTSTILE_UPSTREAM_CRASH_RECORD_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_record.hpp>
#include <apricotstile/upstream/fingerprint.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotstile::upstream {

/// Describes the request in the list shown to operators.
struct request_label {
    service_id service;
    customer_id customer;
    std::string key;
    std::string method;
    std::string target;
};

/// Crashes counted by one incarnation of a daemon. Only that incarnation
/// increases it: after a restart the daemon has lost the count and starts a new
/// one.
struct crash_count {
    std::uint32_t crashes{0};
    /// Crashes at which nothing else was in flight.
    std::uint32_t alone{0};

    friend bool operator==(const crash_count&, const crash_count&) = default;
};

/// Crashes of one fingerprint.
struct crash_record {
    request_label label;
    /// For a fingerprint of content alone: the fingerprints with sender of the
    /// requests that were in flight. Empty for a fingerprint with sender.
    std::set<fingerprint> senders;
    /// Incremented when the counts are reset: after a completion, after the
    /// expiry or by an operator.
    std::uint64_t generation{0};
    std::map<member::member_ref, crash_count> crashes_by_member;
    instant last_crash;
};

/// Crash counts as exchanged between daemons. Reports may arrive repeatedly and
/// in any order.
struct crash_report {
    fingerprint id;
    request_label label;
    std::uint64_t generation{0};
    std::set<fingerprint> senders;
    std::map<member::member_ref, crash_count> crashes_by_member;
    duration since_last_crash{0};
};

template <class Archive>
void serialize(Archive& archive, request_label& value) {
    archive(value.service, value.customer, value.key);
    archive(value.method, value.target);
}

template <class Archive>
void serialize(Archive& archive, crash_count& value) {
    archive(value.crashes, value.alone);
}

template <class Archive>
void serialize(Archive& archive, crash_report& value) {
    archive(value.id, value.label, value.generation);
    archive(value.senders, value.crashes_by_member, value.since_last_crash);
}

} // namespace apricotstile::upstream

#endif
