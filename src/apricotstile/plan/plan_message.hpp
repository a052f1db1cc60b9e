// What daemons tell each other about versions of the two lists.

#ifndef APRICOTSTILE_PLAN_PLAN_MESSAGE_HPP
#define APRICOTSTILE_PLAN_PLAN_MESSAGE_HPP

#include <apricotstile/plan/difference.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace apricotstile::plan {

/// Small enough to ride on every heartbeat.
struct plan_digest {
    /// In force at the sender; zero for none.
    plan_version version;
    /// The highest version that the sender knows the receiver to have had.
    plan_version receivers_floor;
    bool wants_reply{false};
    /// False while the sender is too new to be sure of its version.
    bool in_force{false};
};

struct fetch_plan {
    /// In force at the asker, who can be sent a difference from it.
    plan_version have;
    /// Asks for the whole body instead.
    bool whole{false};
    plan_version want;
    std::uint32_t offset{0};
};

/// A bounded piece of an encoded `version_body` or `version_difference`.
struct plan_part {
    version_record record;
    /// The version that the difference starts from; zero for a whole body.
    plan_version from;
    std::uint32_t offset{0};
    std::uint32_t total{0};
    std::string bytes;
};

/// Leads from one version's lists to those of `plan_part::record`.
struct version_difference {
    plan_difference changes;
};

using plan_message = std::variant<plan_digest, fetch_plan, plan_part>;

template <class Archive>
void serialize(Archive& archive, plan_digest& value) {
    archive(value.version, value.receivers_floor);
    archive(value.wants_reply, value.in_force);
}

template <class Archive>
void serialize(Archive& archive, fetch_plan& value) {
    archive(value.have, value.whole, value.want, value.offset);
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
