// What a plan desk is told and what it asks for.

#ifndef APRICOTSTILE_CONTROL_PLAN_DESK_EVENTS_HPP
#define APRICOTSTILE_CONTROL_PLAN_DESK_EVENTS_HPP

#include <apricotstile/plan/apply.hpp>
#include <apricotstile/plan/plan_message.hpp>
#include <apricotstile/platform/operations.hpp>
#include <apricotstile/share/share_message.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// Desks number their calls from here, so that they differ from all others.
constexpr platform::operation_id first_desk_operation{std::uint64_t{1} << 62U};

struct desk_tick {};

/// The hosts of all members that run.
struct desk_members {
    std::vector<host_id> hosts;
};

struct plan_message_received {
    host_id from;
    plan::plan_message message;
};

/// Claims and hand-overs; grants go to the ingress.
struct share_message_received {
    host_id from;
    share::share_message message;
};

/// An operator's order, by a number that its report will carry.
struct apply_ordered {
    std::uint64_t order{0};
    plan::apply_request request;
};

/// An operator wants a fresh status.
struct status_ordered {};

using desk_event = std::variant<
    desk_tick,
    desk_members,
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

/// The book of a new version is in force.
struct publish_book {};

struct apply_settled {
    std::uint64_t order{0};
    plan::apply_report report;
};

using desk_action = std::variant<
    send_plan,
    send_share,
    publish_book,
    apply_settled,
    platform::submit_transaction,
    platform::read_rows,
    platform::put_object,
    platform::get_object>;

using desk_actions = std::vector<desk_action>;

} // namespace apricotstile::control

#endif
