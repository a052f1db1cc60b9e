// Performs the actions of the controller's components.

#include <apricotstile/control/internal/controller_step.hpp>

namespace apricotstile::control::internal {

void controller_step::perform(const lease::send_message& what) {
    this->send(what.to, what.body);
}

void controller_step::perform(const lease::member_rows_learned& what) {
    this->to_participant(lease::member_rows_received{what.rows});
    this->gossip(member::send_new_rows(
        this->self.gossip,
        this->self.participant.members,
        what.rows,
        this->random
    ));
}

void controller_step::perform(const lease::join_completed& what) {
    this->set_own_member(what.self);
    // Pass all members known so far to the new incarnation's components.
    this->self.notified_members = {};
}

void controller_step::perform(const lease::membership_lost& /*what*/) {
    this->set_own_member({});
}

void controller_step::perform(const lease::members_deposed& /*what*/) {
    // The changed rows arrive with `member_rows_learned`.
}

void controller_step::perform(const lease::leave_completed& /*what*/) {
    this->self.has_left = true;
    this->set_own_member({});
    this->out.emplace_back(left{});
}

void controller_step::perform(const assignment::send_map_message& what) {
    this->send(what.to, what.message);
}

void controller_step::perform(const assignment::publish_map& what) {
    this->out.emplace_back(publish_view{});
    this->to_owner(assignment::owner_map_changed{what.changes});
}

void controller_step::perform(const assignment::share_change& what) {
    this->to_follower(assignment::change_committed{what.change});
}

void controller_step::perform(const assignment::share_map& what) {
    this->to_follower(assignment::map_was_read{what.rows});
}

void controller_step::perform(const assignment::announce_planner& what) {
    this->to_follower(assignment::planner_seen{what.beat, what.planner});
}

void controller_step::perform(const assignment::all_released& /*what*/) {
    this->to_participant(lease::leave_requested{});
}

void controller_step::perform(const assignment::stop_dispatching& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

void controller_step::perform(const assignment::resume_dispatching& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

void controller_step::perform(const assignment::hand_over_range& what) {
    this->out.emplace_back(what);
}

void controller_step::perform(const assignment::range_released& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

} // namespace apricotstile::control::internal
