// Performs the actions of the controller's components.

#include <apricotstile/control/internal/round.hpp>

namespace apricotstile::control::internal {

void round::perform(const lease::send_message& what) {
    this->send(what.to, what.body);
}

void round::perform(const lease::member_rows_learned& what) {
    this->to_participant(lease::member_rows_received{what.rows});
    this->gossip(member::send_new_rows(
        this->self.gossip,
        this->self.participant.members,
        what.rows,
        this->random
    ));
}

void round::perform(const lease::join_completed& what) {
    this->become(what.self);
    // Pass all members known so far to the new incarnation's components.
    this->self.members_told = {};
}

void round::perform(const lease::membership_lost& /*what*/) {
    this->become({});
}

void round::perform(const lease::members_deposed& /*what*/) {
    // The changed rows arrive with `member_rows_learned`.
}

void round::perform(const lease::leave_completed& /*what*/) {
    this->self.has_left = true;
    this->become({});
    this->out.emplace_back(left{});
}

void round::perform(const assignment::send_map_message& what) {
    this->send(what.to, what.message);
}

void round::perform(const assignment::publish_map& what) {
    this->out.emplace_back(publish_view{});
    this->to_owner(assignment::owner_map_changed{what.changes});
}

void round::perform(const assignment::share_change& what) {
    this->to_follower(assignment::change_committed{what.change});
}

void round::perform(const assignment::share_map& what) {
    this->to_follower(assignment::map_was_read{what.rows});
}

void round::perform(const assignment::announce_planner& what) {
    this->to_follower(assignment::planner_seen{what.beat, what.planner});
}

void round::perform(const assignment::all_released& /*what*/) {
    this->to_participant(lease::leave_requested{});
}

void round::perform(const assignment::stop_dispatching& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

void round::perform(const assignment::resume_dispatching& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

void round::perform(const assignment::hand_over_range& what) {
    this->out.emplace_back(what);
}

void round::perform(const assignment::range_released& what) {
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(what);
}

} // namespace apricotstile::control::internal
