// Differences kept for peers, and the encoding of what they fetch.

#ifndef APRICOTSTILE_PLAN_INTERNAL_PLAN_TRANSFER_HPP
#define APRICOTSTILE_PLAN_INTERNAL_PLAN_TRANSFER_HPP

#include <apricotstile/plan/follower.hpp>

#include <optional>
#include <string>

namespace apricotstile::plan::internal {

/// Encodes `body` and names it.
[[nodiscard]] held_version hold(const version_body& body);

/// Notes the way from the held version to `lists`, before it is replaced.
void keep_difference(
    follower_state& state, const plan_lists& lists, plan_version version
);

/// The part of the held version that `asked` wants: of the difference when
/// it is known and smaller, else of the body.
[[nodiscard]] plan_part
make_part(const follower_state& state, const fetch_plan& asked);

/// The version in a whole transfer, or nothing when the bytes don't lead to
/// the body that `record` names.
[[nodiscard]] std::optional<held_version> assemble(
    const follower_state& state,
    const version_record& record,
    plan_version from,
    const std::string& bytes
);

} // namespace apricotstile::plan::internal

#endif
