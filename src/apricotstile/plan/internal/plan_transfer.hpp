// Differences kept for peers, and the encoding of transfers to them.

#ifndef APRICOTSTILE_PLAN_INTERNAL_PLAN_TRANSFER_HPP
#define APRICOTSTILE_PLAN_INTERNAL_PLAN_TRANSFER_HPP

#include <apricotstile/plan/follower.hpp>

#include <optional>
#include <string>

namespace apricotstile::plan::internal {

/// Encodes `body` and computes its content name.
[[nodiscard]] held_version make_held_version(const version_body& body);

/// Keeps the difference from the held version to `lists`. Call it before the
/// held version is replaced.
void record_difference(
    follower_state& state, const plan_lists& lists, plan_version version
);

/// The requested part: of the difference to the held version when it is known
/// and smaller than the body, otherwise of the body.
[[nodiscard]] plan_part
make_part(const follower_state& state, const fetch_plan& request);

/// The version in a complete transfer, or `nullopt` when the bytes don't yield
/// the body that `record` names.
[[nodiscard]] std::optional<held_version> decode_transfer(
    const follower_state& state,
    const version_record& record,
    plan_version from,
    const std::string& bytes
);

} // namespace apricotstile::plan::internal

#endif
