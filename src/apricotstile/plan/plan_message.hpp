// Messages between daemons about versions of the customer and plan lists.

#ifndef APRICOTSTILE_PLAN_PLAN_MESSAGE_HPP
#define APRICOTSTILE_PLAN_PLAN_MESSAGE_HPP

#include <apricotstile/plan/difference.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace apricotstile::plan {

/// Small enough to be sent with every heartbeat.
struct plan_digest {
    /// Held by the sender; zero for none.
    plan_version version;
    /// The highest version that the sender knows the receiver to have had.
    plan_version receiver_min_version;
    bool wants_reply{false};
    /// Whether `version` is in force at the sender. False after its start,
    /// until it knows that it didn't have a newer version before.
    bool in_force{false};
};

struct fetch_plan {
    /// Held by the sender, which accepts a difference from it.
    plan_version base_version;
    /// Requests the full body instead of a difference.
    bool full_body{false};
    plan_version wanted_version;
    std::uint32_t offset{0};
};

/// A part of an encoded `version_body` or `version_difference`, of at most
/// `follower_policy::part_bytes` bytes.
struct plan_part {
    version_record record;
    /// The version that the difference is relative to; zero for a full body.
    plan_version from;
    /// In the encoding, in bytes.
    std::uint32_t offset{0};
    /// Size of the encoding in bytes.
    std::uint32_t total{0};
    std::string bytes;
};

/// Turns the lists of one version into those of `plan_part::record`.
struct version_difference {
    plan_difference changes;
};

using plan_message = std::variant<plan_digest, fetch_plan, plan_part>;

template <class Archive>
void serialize(Archive& archive, plan_digest& value) {
    archive(value.version, value.receiver_min_version);
    archive(value.wants_reply, value.in_force);
}

template <class Archive>
void serialize(Archive& archive, fetch_plan& value) {
    archive(
        value.base_version, value.full_body, value.wanted_version, value.offset
    );
}

template <class Archive>
void serialize(Archive& archive, plan_part& value) {
    archive(value.record, value.from, value.offset, value.total, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, version_difference& value) {
    archive(value.changes);
}

} // namespace apricotstile::plan

#endif
