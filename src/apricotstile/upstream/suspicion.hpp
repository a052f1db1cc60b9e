// What is held against one request, by all owners' crashes together.

#ifndef APRICOTSTILE_UPSTREAM_SUSPICION_HPP
#define APRICOTSTILE_UPSTREAM_SUSPICION_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_record.hpp>
#include <apricotstile/upstream/fingerprint.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace apricotstile::upstream {

/// Who the request is, for the operators' list.
struct suspect_label {
    service_id service;
    customer_id customer;
    std::string key;
    std::string method;
    std::string target;
};

/// One run of a daemon's count, which only that run raises: a daemon that
/// restarts has forgotten its old count and begins another.
struct crash_count {
    std::uint32_t crashes{0};
    /// Those at which nothing else was in flight.
    std::uint32_t alone{0};
};

struct suspicion {
    suspect_label label;
    /// Raised when it is found innocent or cleared; then counts start anew.
    std::uint64_t generation{0};
    std::map<member::member_ref, crash_count> by_member;
    instant last_crash;
};

/// A suspicion as daemons tell it to each other, in any order, repeatedly.
struct suspicion_report {
    fingerprint id;
    suspect_label label;
    std::uint64_t generation{0};
    std::map<member::member_ref, crash_count> by_member;
    duration since_last_crash{0};
};

template <class Archive>
void serialize(Archive& archive, suspect_label& value) {
    archive(value.service, value.customer, value.key);
    archive(value.method, value.target);
}

template <class Archive>
void serialize(Archive& archive, crash_count& value) {
    archive(value.crashes, value.alone);
}

template <class Archive>
void serialize(Archive& archive, suspicion_report& value) {
    archive(value.id, value.label, value.generation);
    archive(value.by_member, value.since_last_crash);
}

} // namespace apricotstile::upstream

#endif
