// What a controller asks its shell to do.

#ifndef APRICOTSTILE_CONTROL_ACTION_HPP
#define APRICOTSTILE_CONTROL_ACTION_HPP

#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// Who this daemon is, the members or the map have changed: publish them.
struct publish_view {};

/// What this daemon may dispatch has changed: pass the owner's state on
/// before anything that follows.
struct publish_owner {};

/// For the plan desk.
struct plan_arrived {
    host_id from;
    plan::plan_message message;
};

struct share_arrived {
    host_id from;
    share::share_message message;
};

/// The daemon has left; it may end.
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
