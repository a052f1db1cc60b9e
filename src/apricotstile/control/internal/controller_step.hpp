// One call of the controller's `step`: turns the actions of each component
// into events of the other components and actions of the controller.

#ifndef APRICOTSTILE_CONTROL_INTERNAL_CONTROLLER_STEP_HPP
#define APRICOTSTILE_CONTROL_INTERNAL_CONTROLLER_STEP_HPP

#include <apricotstile/control/controller.hpp>

#include <type_traits>

namespace apricotstile::control::internal {

/// The state, the time and the actions so far of one call of `step`.
class controller_step {
public:
    controller_step(
        controller& state, instant at, random_source& source, actions& result
    )
        : self(state), now(at), random(source), out(result) {}

    void handle(const tick& /*what*/);
    void handle(const envelope& what);
    void handle(const platform::transaction_done& what);
    void handle(const platform::rows_read& what);
    void handle(const services_announced& what);
    void handle(const load_measured& what);
    void handle(const assignment::range_drained& what);
    void handle(const memory_to_send& what);
    void handle(const upstream::crash_report& what);
    void handle(const drain_requested& what);

    /// Passes the members to the other components if they have changed.
    void notify_members();
    void notify_digest();

private:
    void to_participant(const lease::event& what);
    void to_follower(const assignment::follower_event& what);
    void to_owner(const assignment::owner_event& what);
    void to_planner(const assignment::planner_event& what);

    // Actions of the participant.
    void perform(const lease::send_message& what);
    void perform(const lease::member_rows_learned& what);
    void perform(const lease::join_completed& what);
    void perform(const lease::membership_lost& what);
    void perform(const lease::members_deposed& what);
    void perform(const lease::leave_completed& what);
    // Actions of the map follower, the owner and the planner.
    void perform(const assignment::send_map_message& what);
    void perform(const assignment::publish_map& what);
    void perform(const assignment::share_change& what);
    void perform(const assignment::share_map& what);
    void perform(const assignment::announce_planner& what);
    void perform(const assignment::all_released& what);
    void perform(const assignment::stop_dispatching& what);
    void perform(const assignment::resume_dispatching& what);
    void perform(const assignment::hand_over_range& what);
    void perform(const assignment::range_released& what);

    template <class Actions>
    void perform_actions(component requested_by, const Actions& all);
    template <class Call>
    void submit_call(component requested_by, Call call);
    template <class Result>
    void deliver_result(const Result& result);

    void send(host_id to, message body);
    void gossip(const member::gossip_actions& all);
    void handle_message(host_id from, const lease::message& body);
    void handle_message(host_id from, const assignment::map_message& body);
    void handle_message(host_id from, const member::gossip_message& body);
    void handle_message(host_id from, const request::slice_handover& body);
    void handle_message(host_id from, const upstream::crash_report& body);
    void handle_message(host_id from, const plan::plan_message& body);
    void handle_message(host_id from, const share::share_message& body);
    void set_own_member(const member::member_ref& ref);

    controller& self;
    instant now;
    random_source& random;
    actions& out;
};

template <class Call>
void controller_step::submit_call(component requested_by, Call call) {
    this->self.last_operation = next(this->self.last_operation);
    this->self.operations[this->self.last_operation] = {requested_by, call.id};
    call.id = this->self.last_operation;
    this->out.emplace_back(std::move(call));
}

template <class Actions>
void controller_step::perform_actions(
    component requested_by, const Actions& all
) {
    for (const auto& one : all) {
        std::visit(
            [&](const auto& what) {
                using type = std::decay_t<decltype(what)>;
                constexpr bool is_call =
                    std::is_same_v<type, platform::submit_transaction> ||
                    std::is_same_v<type, platform::read_rows>;
                if constexpr (is_call) {
                    this->submit_call(requested_by, what);
                } else {
                    this->perform(what);
                }
            },
            one
        );
    }
}

template <class Result>
void controller_step::deliver_result(const Result& result) {
    const auto found = this->self.operations.find(result.id);
    if (found == this->self.operations.end()) {
        return;
    }
    const pending_operation pending = found->second;
    this->self.operations.erase(found);
    Result own = result;
    own.id = pending.id;
    switch (pending.requested_by) {
    case component::participant:
        this->to_participant(own);
        break;
    case component::follower:
        if constexpr (std::is_same_v<Result, platform::rows_read>) {
            this->to_follower(own);
        }
        break;
    case component::owner:
        this->to_owner(own);
        break;
    case component::planner:
        this->to_planner(own);
        break;
    }
    this->notify_members();
    this->notify_digest();
}

} // namespace apricotstile::control::internal

#endif
