// Actions that a controller returns to its caller.

#ifndef APRICOTSTILE_CONTROL_ACTION_HPP
#define APRICOTSTILE_CONTROL_ACTION_HPP

#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// This daemon's member reference, the members or the map have changed:
/// publish them.
struct publish_view {};

/// What this daemon may dispatch has changed: publish the owner's state before
/// performing any later action.
struct publish_owner {};

/// A message for the plan controller.
struct plan_arrived {
    host_id from;
    plan::plan_message message;
};

struct share_arrived {
    host_id from;
    share::share_message message;
};

/// This daemon has left the membership; its process may exit.
struct left {};

using action = std::variant<
    envelope,
    platform::submit_transaction,
    platform::read_rows,
    publish_view,
    publish_owner,
    assignment::stop_dispatching,
    assignment::resume_dispatching,
    assignment::hand_over_range,
    assignment::range_released,
    request::slice_handover,
    upstream::crash_report,
    plan_arrived,
    share_arrived,
    left>;

using actions = std::vector<action>;

} // namespace apricotstile::control

#endif
