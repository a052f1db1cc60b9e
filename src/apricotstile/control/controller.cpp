// Routes events and actions between the controller's components.

#include <apricotstile/control/controller.hpp>

#include <apricotstile/control/internal/controller_step.hpp>

#include <chrono>

namespace apricotstile::control {

namespace internal {

namespace {

using namespace std::chrono_literals;

constexpr duration assignment_tick_interval = 50ms;

} // namespace

void controller_step::to_participant(const lease::event& what) {
    this->perform_actions(
        component::participant,
        lease::step(this->self.participant, what, this->now, this->random)
    );
}

void controller_step::to_follower(const assignment::follower_event& what) {
    this->perform_actions(
        component::follower,
        assignment::step(this->self.follower, what, this->now, this->random)
    );
}

void controller_step::to_owner(const assignment::owner_event& what) {
    if (this->self.owner.self == member::member_ref{}) {
        return;
    }
    this->perform_actions(
        component::owner,
        assignment::step(
            this->self.owner,
            this->self.follower.map,
            what,
            this->now,
            this->random
        )
    );
}

void controller_step::to_planner(const assignment::planner_event& what) {
    if (this->self.planner.self == member::member_ref{}) {
        return;
    }
    this->perform_actions(
        component::planner,
        assignment::step(this->self.planner, what, this->now, this->random)
    );
}

void controller_step::send(host_id to, message body) {
    this->out.emplace_back(envelope{
        this->self.gossip.self,
        to,
        assignment::digest_of(this->self.follower),
        std::move(body)});
}

void controller_step::gossip(const member::gossip_actions& all) {
    for (const member::send_gossip& one : all) {
        this->send(one.to, one.body);
    }
}

void controller_step::set_own_member(const member::member_ref& ref) {
    this->self.follower.self = ref;
    this->self.planner.self = ref;
    this->self.owner = assignment::owner_state{};
    this->self.owner.self = ref;
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(publish_view{});
}

void controller_step::notify_members() {
    const member::member_set_hash current_members =
        member::hash_of(this->self.participant.members);
    if (current_members.value == this->self.notified_members.value) {
        return;
    }
    this->self.notified_members = current_members;
    const std::vector<member::member_record> records =
        member_records(this->self);
    std::vector<host_id> peers;
    for (const member::member_record& one : records) {
        const bool runs = one.state == member::member_state::active ||
                          one.state == member::member_state::draining;
        if (runs && one.self.host != this->self.gossip.self) {
            peers.push_back(one.self.host);
        }
    }
    this->to_follower(assignment::peers_changed{
        peers.empty() ? this->self.gossip.seeds : peers});
    this->to_owner(assignment::owner_members_changed{records});
    this->to_planner(assignment::planner_members_changed{records});
    this->out.emplace_back(publish_view{});
}

void controller_step::notify_digest() {
    const assignment::map_digest digest =
        assignment::digest_of(this->self.follower);
    this->to_planner(assignment::digest_seen{digest});
    if (this->self.participant.planner != digest.planner.host) {
        this->to_participant(lease::planner_changed{digest.planner.host});
    }
}

void controller_step::handle(const tick& /*what*/) {
    this->to_participant(lease::tick{});
    if (this->now < this->self.next_assignment_tick) {
        return;
    }
    this->self.next_assignment_tick = this->now + assignment_tick_interval;
    this->gossip(member::tick(
        this->self.gossip,
        this->self.participant.members,
        this->now,
        this->random
    ));
    this->notify_members();
    this->to_follower(assignment::follower_tick{});
    this->to_owner(assignment::owner_tick{});
    this->to_planner(assignment::planner_tick{});
    this->notify_digest();
}

void controller_step::handle(const envelope& what) {
    if (what.to != this->self.gossip.self ||
        what.from == this->self.gossip.self) {
        return;
    }
    this->to_follower(assignment::follower_message{what.from, what.digest});
    std::visit(
        [&](const auto& body) {
            this->handle_message(what.from, body);
        },
        what.body
    );
    this->notify_members();
    this->notify_digest();
}

void controller_step::handle_message(host_id from, const lease::message& body) {
    this->to_participant(lease::message_received{from, body});
}

void controller_step::handle_message(
    host_id from, const assignment::map_message& body
) {
    if (const auto* report = std::get_if<assignment::load_report>(&body)) {
        this->to_planner(*report);
        return;
    }
    this->to_follower(assignment::follower_message{from, body});
}

void controller_step::handle_message(
    host_id from, const member::gossip_message& body
) {
    const auto* rows = std::get_if<member::member_rows>(&body);
    if (rows == nullptr) {
        this->gossip(member::answer(this->self.participant.members, from, body)
        );
        return;
    }
    std::vector<member::member_row> newer_rows;
    for (const member::member_row& one : rows->rows) {
        const member::member_row* const known =
            member::find(this->self.participant.members, one.record.self.host);
        if (known == nullptr || known->version < one.version) {
            newer_rows.push_back(one);
        }
    }
    if (newer_rows.empty()) {
        return;
    }
    this->to_participant(lease::member_rows_received{newer_rows});
    this->gossip(member::send_new_rows(
        this->self.gossip,
        this->self.participant.members,
        newer_rows,
        this->random
    ));
}

void controller_step::handle_message(
    host_id /*from*/, const request::slice_handover& body
) {
    this->out.emplace_back(body);
}

void controller_step::handle_message(
    host_id /*from*/, const upstream::crash_report& body
) {
    this->out.emplace_back(body);
}

void controller_step::handle_message(
    host_id from, const plan::plan_message& body
) {
    this->out.emplace_back(plan_arrived{from, body});
}

void controller_step::handle_message(
    host_id from, const share::share_message& body
) {
    this->out.emplace_back(share_arrived{from, body});
}

void controller_step::handle(const platform::transaction_done& what) {
    this->deliver_result(what);
}

void controller_step::handle(const platform::rows_read& what) {
    this->deliver_result(what);
}

void controller_step::handle(const services_announced& what) {
    this->to_participant(lease::services_changed{what.services});
}

void controller_step::handle(const load_measured& what) {
    const assignment::load_report report{self_ref(this->self), what.services};
    const host_id planner = this->self.follower.planner.host;
    if (planner == this->self.gossip.self) {
        this->to_planner(report);
    } else if (planner != host_id{}) {
        this->send(planner, assignment::map_message{report});
    }
}

void controller_step::handle(const assignment::range_drained& what) {
    this->to_owner(what);
}

void controller_step::handle(const memory_to_send& what) {
    this->send(what.to, what.memory);
}

void controller_step::handle(const upstream::crash_report& what) {
    for (const host_id peer : this->self.follower.peers) {
        this->send(peer, what);
    }
}

void controller_step::handle(const drain_requested& /*what*/) {
    if (this->self.draining) {
        return;
    }
    this->self.draining = true;
    this->to_participant(lease::drain_requested{});
    if (this->self.owner.self == member::member_ref{}) {
        this->to_participant(lease::leave_requested{});
        return;
    }
    this->to_owner(assignment::leave_requested{});
    this->out.emplace_back(publish_owner{});
}

} // namespace internal

controller make_controller(const controller_settings& settings) {
    controller self;
    self.participant =
        lease::make_participant(settings.desired, settings.limits);
    self.gossip.self = settings.desired.self.host;
    self.gossip.seeds = settings.seeds;
    self.follower.peers = settings.seeds;
    self.planner.weights = settings.weights;
    return self;
}

actions
step(controller& self, const event& what, instant now, random_source& random) {
    actions out;
    internal::controller_step current{self, now, random, out};
    std::visit(
        [&](const auto& one) {
            current.handle(one);
        },
        what
    );
    return out;
}

member::member_ref self_ref(const controller& self) {
    return lease::self_ref(self.participant);
}

instant lease_valid_until(const controller& self) {
    return lease::may_own(self.participant)
               ? lease::lease_valid_until(self.participant)
               : instant{};
}

std::vector<member::member_record> member_records(const controller& self) {
    std::vector<member::member_record> records;
    for (const auto& [host, row] : self.participant.members.rows) {
        records.push_back(row.record);
    }
    return records;
}

} // namespace apricotstile::control
