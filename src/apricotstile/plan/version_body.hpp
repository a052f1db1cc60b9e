// A version of the two lists as it is stored and sent: the body, named by a
// hash of its content, and the row that names the body in force.

#ifndef APRICOTSTILE_PLAN_VERSION_BODY_HPP
#define APRICOTSTILE_PLAN_VERSION_BODY_HPP

#include <apricotstile/plan/plan_lists.hpp>
#include <apricotstile/platform/operations.hpp>

#include <string>

namespace apricotstile::plan {

/// Identifies one apply; drawn at random by its initiator.
using apply_id = strong_id<struct apply_id_tag, std::uint64_t>;

struct version_body {
    plan_version version;
    apply_id applied_by;
    plan_lists lists;

    friend bool operator==(const version_body&, const version_body&) = default;
};

/// The value of the rows `head_row_key` and `version_row_key`.
struct version_record {
    plan_version version;
    apply_id applied_by;
    platform::object_name body;

    friend bool
    operator==(const version_record&, const version_record&) = default;
};

/// The row that names the version in force.
constexpr const char* head_row_key = "plans/head";

/// The row that keeps the record of `version`; written in the same transaction
/// as the head.
[[nodiscard]] std::string version_row_key(plan_version version);

/// "plans-" and 32 hexadecimal digits of the body's 128-bit xxHash. Two
/// versions never have the same body, since it contains its version and its
/// `apply_id`.
[[nodiscard]] platform::object_name content_name(const std::string& body);

template <class Archive>
void serialize(Archive& archive, version_body& value) {
    archive(value.version, value.applied_by, value.lists);
}

template <class Archive>
void serialize(Archive& archive, version_record& value) {
    archive(value.version, value.applied_by, value.body);
}

} // namespace apricotstile::plan

#endif
