// Routes events and actions between the controller's components.

#include <apricotstile/control/controller.hpp>

#include <apricotstile/control/internal/round.hpp>

#include <chrono>

namespace apricotstile::control {

namespace internal {

namespace {

using namespace std::chrono_literals;

constexpr duration assignment_tick_interval = 50ms;

} // namespace

void round::to_participant(const lease::event& what) {
    this->perform_all(
        part::participant,
        lease::step(this->self.participant, what, this->now, this->random)
    );
}

void round::to_follower(const assignment::follower_event& what) {
    this->perform_all(
        part::follower,
        assignment::step(this->self.follower, what, this->now, this->random)
    );
}

void round::to_owner(const assignment::owner_event& what) {
    if (this->self.owner.self == member::member_ref{}) {
        return;
    }
    this->perform_all(
        part::owner,
        assignment::step(
            this->self.owner,
            this->self.follower.map,
            what,
            this->now,
            this->random
        )
    );
}

void round::to_planner(const assignment::planner_event& what) {
    if (this->self.planner.self == member::member_ref{}) {
        return;
    }
    this->perform_all(
        part::planner,
        assignment::step(this->self.planner, what, this->now, this->random)
    );
}

void round::send(host_id to, message body) {
    this->out.emplace_back(envelope{
        this->self.gossip.self,
        to,
        assignment::digest_of(this->self.follower),
        std::move(body)});
}

void round::gossip(const member::gossip_actions& all) {
    for (const member::send_gossip& one : all) {
        this->send(one.to, one.body);
    }
}

void round::become(const member::member_ref& ref) {
    this->self.follower.self = ref;
    this->self.planner.self = ref;
    this->self.owner = assignment::owner_state{};
    this->self.owner.self = ref;
    this->out.emplace_back(publish_owner{});
    this->out.emplace_back(publish_view{});
}

void round::tell_members() {
    const member::member_set_hash present =
        member::hash_of(this->self.participant.members);
    if (present.value == this->self.members_told.value) {
        return;
    }
    this->self.members_told = present;
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

void round::tell_digest() {
    const assignment::map_digest digest =
        assignment::digest_of(this->self.follower);
    this->to_planner(assignment::digest_seen{digest});
    if (this->self.participant.planner != digest.planner.host) {
        this->to_participant(lease::planner_changed{digest.planner.host});
    }
}

void round::take(const tick& /*what*/) {
    this->to_participant(lease::tick{});
    if (this->now < this->self.assignment_tick_at) {
        return;
    }
    this->self.assignment_tick_at = this->now + assignment_tick_interval;
    this->gossip(member::tick(
        this->self.gossip,
        this->self.participant.members,
        this->now,
        this->random
    ));
    this->tell_members();
    this->to_follower(assignment::follower_tick{});
    this->to_owner(assignment::owner_tick{});
    this->to_planner(assignment::planner_tick{});
    this->tell_digest();
}

void round::take(const envelope& what) {
    if (what.to != this->self.gossip.self ||
        what.from == this->self.gossip.self) {
        return;
    }
    this->to_follower(assignment::follower_message{what.from, what.digest});
    std::visit(
        [&](const auto& body) {
            this->take_message(what.from, body);
        },
        what.body
    );
    this->tell_members();
    this->tell_digest();
}

void round::take_message(host_id from, const lease::message& body) {
    this->to_participant(lease::message_received{from, body});
}

void round::take_message(host_id from, const assignment::map_message& body) {
    if (const auto* report = std::get_if<assignment::load_report>(&body)) {
        this->to_planner(*report);
        return;
    }
    this->to_follower(assignment::follower_message{from, body});
}

void round::take_message(host_id from, const member::gossip_message& body) {
    const auto* rows = std::get_if<member::member_rows>(&body);
    if (rows == nullptr) {
        this->gossip(member::answer(this->self.participant.members, from, body)
        );
        return;
    }
    std::vector<member::member_row> news;
    for (const member::member_row& one : rows->rows) {
        const member::member_row* const known =
            member::find(this->self.participant.members, one.record.self.host);
        if (known == nullptr || known->version < one.version) {
            news.push_back(one);
        }
    }
    if (news.empty()) {
        return;
    }
    this->to_participant(lease::member_rows_received{news});
    this->gossip(member::send_new_rows(
        this->self.gossip, this->self.participant.members, news, this->random
    ));
}

void round::take_message(
    host_id /*from*/, const request::slice_handover& body
) {
    this->out.emplace_back(body);
}

void round::take_message(host_id /*from*/, const upstream::crash_report& body) {
    this->out.emplace_back(body);
}

void round::take_message(host_id from, const plan::plan_message& body) {
    this->out.emplace_back(plan_arrived{from, body});
}

void round::take_message(host_id from, const share::share_message& body) {
    this->out.emplace_back(share_arrived{from, body});
}

void round::take(const platform::transaction_done& what) {
    this->give_result(what);
}

void round::take(const platform::rows_read& what) {
    this->give_result(what);
}

void round::take(const services_announced& what) {
    this->to_participant(lease::services_changed{what.services});
}

void round::take(const load_measured& what) {
    const assignment::load_report report{self_ref(this->self), what.services};
    const host_id planner = this->self.follower.planner.host;
    if (planner == this->self.gossip.self) {
        this->to_planner(report);
    } else if (planner != host_id{}) {
        this->send(planner, assignment::map_message{report});
    }
}

void round::take(const assignment::range_drained& what) {
    this->to_owner(what);
}

void round::take(const memory_to_send& what) {
    this->send(what.to, what.memory);
}

void round::take(const upstream::crash_report& what) {
    for (const host_id peer : this->self.follower.peers) {
        this->send(peer, what);
    }
}

void round::take(const drain_requested& /*what*/) {
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
    internal::round present{self, now, random, out};
    std::visit(
        [&](const auto& one) {
            present.take(one);
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
