// Events and actions of a plan controller.

#ifndef APRICOTSTILE_CONTROL_PLAN_CONTROLLER_EVENTS_HPP
#define APRICOTSTILE_CONTROL_PLAN_CONTROLLER_EVENTS_HPP

#include <apricotstile/plan/apply.hpp>
#include <apricotstile/plan/plan_message.hpp>
#include <apricotstile/platform/operations.hpp>
#include <apricotstile/share/share_message.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// The ids of a plan controller's platform calls are greater than this, so that
/// they differ from the ids of all other calls.
constexpr platform::operation_id first_plan_operation{std::uint64_t{1} << 62U};

struct plan_tick {};

/// The hosts of all running members.
struct running_members_changed {
    std::vector<host_id> hosts;
};

struct plan_message_received {
    host_id from;
    plan::plan_message message;
};

/// Claims and handovers only; grants go to the ingress.
struct share_message_received {
    host_id from;
    share::share_message message;
};

/// An operator has requested an apply. Its report carries the same number.
struct apply_ordered {
    std::uint64_t order{0};
    plan::apply_request request;
};

/// An operator has requested a fresh status.
struct status_ordered {};

using plan_event = std::variant<
    plan_tick,
    running_members_changed,
    plan_message_received,
    share_message_received,
    apply_ordered,
    status_ordered,
    platform::transaction_done,
    platform::rows_read,
    platform::object_put,
    platform::object_got>;

struct send_plan {
    host_id to;
    plan::plan_message message;
};

struct send_share {
    host_id to;
    share::share_message message;
};

/// A new version is in force: publish its book.
struct publish_book {};

struct apply_settled {
    std::uint64_t order{0};
    plan::apply_report report;
};

using plan_action = std::variant<
    send_plan,
    send_share,
    publish_book,
    apply_settled,
    platform::submit_transaction,
    platform::read_rows,
    platform::put_object,
    platform::get_object>;

using plan_actions = std::vector<plan_action>;

} // namespace apricotstile::control

#endif
