// Acquires and renews the planner role.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNER_ROLE_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_PLANNER_ROLE_HPP

#include <apricotstile/assignment/planner.hpp>

namespace apricotstile::assignment::internal {

/// Renews the role if this daemon holds it. Otherwise claims it if the holder
/// has stopped renewing it or is a former member.
void advance_role(
    planner& planner,
    instant now,
    random_source& random,
    planner_actions& actions
);

/// Handles the result of a read or write of the planner row. Returns false if
/// the result belongs to another operation.
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

/// Records the version and holder of the planner row as another daemon
/// announced them. Gives the role up if another daemon wrote a newer version.
void observe_planner(
    planner& planner,
    std::uint64_t planner_row_version,
    const member::member_ref& holder,
    instant now
);

} // namespace apricotstile::assignment::internal

#endif
