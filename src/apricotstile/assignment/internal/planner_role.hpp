// Taking and keeping of the planner's row.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNER_ROLE_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNER_ROLE_HPP

#include <apricotstile/assignment/planner.hpp>

namespace apricotstile::assignment::internal {

/// Claims the role when its holder is silent or lost; renews it when held.
void advance_role(
    planner& planner,
    instant now,
    random_source& random,
    planner_actions& actions
);

/// Takes the results of the role's own calls; false for other calls.
[[nodiscard]] bool handle_role_result(
    planner& planner,
    const platform::transaction_done& result,
    instant now,
    planner_actions& actions
);
[[nodiscard]] bool handle_role_result(
    planner& planner,
    const platform::rows_read& result,
    instant now,
    planner_actions& actions
);

/// Another daemon's sign as planner.
void observe_planner(
    planner& planner,
    std::uint64_t planner_row_version,
    const member::member_ref& holder,
    instant now
);

} // namespace apricotstile::assignment::internal

#endif
