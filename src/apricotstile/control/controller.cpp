// Distribution of events and actions among the parts.

#include <apricotstile/control/controller.hpp>

#include <chrono>

namespace apricotstile::control {

namespace {

using namespace std::chrono_literals;

constexpr duration assignment_tick_interval = 50ms;

/// One call of `step`: the state, the time and what is asked for so far.
class round {
public:
    round(controller& state, instant at, random_source& source, actions& result)
        : self(state), now(at), random(source), out(result) {}

    void take(const tick& /*what*/);
    void take(const envelope& what);
    void take(const platform::transaction_done& what);
    void take(const platform::rows_read& what);
    void take(const services_announced& what);
    void take(const load_measured& what);
    void take(const assignment::range_drained& what);
    void take(const memory_to_send& what);
    void take(const upstream::suspicion_report& what);
    void take(const drain_requested& what);

    /// Tells the other parts of members that they don't know yet.
    void tell_members();
    void tell_digest();

private:
    void to_participant(const lease::event& what);
    void to_follower(const assignment::follower_event& what);
    void to_owner(const assignment::owner_event& what);
    void to_planner(const assignment::planner_event& what);

    // Actions of the participant.
    void perform(const lease::send_message& what);
    void perform(const lease::members_seen& what);
    void perform(const lease::joined& what);
    void perform(const lease::membership_lost& what);
    void perform(const lease::members_deposed& what);
    void perform(const lease::left& what);
    // Actions of the assignment's parts.
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
    void perform_all(part by, const Actions& all);
    template <class Call>
    void ask(part by, Call call);
    template <class Result>
    void give_result(const Result& result);

    void send(host_id to, message body);
    void gossip(const member::gossip_actions& all);
    void take_message(host_id from, const lease::message& body);
    void take_message(host_id from, const assignment::map_message& body);
    void take_message(host_id from, const member::gossip_message& body);
    void take_message(host_id from, const request::slice_handover& body);
    void take_message(host_id from, const upstream::suspicion_report& body);
    void take_message(host_id from, const plan::plan_message& body);
    void take_message(host_id from, const share::share_message& body);
    void become(const member::member_ref& ref);

    controller& self;
    instant now;
    random_source& random;
    actions& out;
};

template <class Call>
void round::ask(part by, Call call) {
    this->self.last_operation = next(this->self.last_operation);
    this->self.operations[this->self.last_operation] = {by, call.id};
    call.id = this->self.last_operation;
    this->out.emplace_back(std::move(call));
}

template <class Actions>
void round::perform_all(part by, const Actions& all) {
    for (const auto& one : all) {
        std::visit(
            [&](const auto& what) {
                using type = std::decay_t<decltype(what)>;
                constexpr bool is_call =
                    std::is_same_v<type, platform::submit_transaction> ||
                    std::is_same_v<type, platform::read_rows>;
                if constexpr (is_call) {
                    this->ask(by, what);
                } else {
                    this->perform(what);
                }
            },
            one
        );
    }
}

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

void round::perform(const lease::send_message& what) {
    this->send(what.to, what.body);
}

void round::perform(const lease::members_seen& what) {
    this->to_participant(lease::members_changed{what.rows});
    this->gossip(member::spread(
        this->self.gossip,
        this->self.participant.members,
        what.rows,
        this->random
    ));
}

void round::perform(const lease::joined& what) {
    this->become(what.self);
    // The new incarnation knows what the last one knew.
    this->self.members_told = {};
}

void round::perform(const lease::membership_lost& /*what*/) {
    this->become({});
}

void round::perform(const lease::members_deposed& /*what*/) {
    // The rows come with `members_seen`.
}

void round::perform(const lease::left& /*what*/) {
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

void round::tell_members() {
    const member::members_hash present =
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
    const auto* rows = std::get_if<member::members_rows>(&body);
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
    this->to_participant(lease::members_changed{news});
    this->gossip(member::spread(
        this->self.gossip, this->self.participant.members, news, this->random
    ));
}

void round::take_message(
    host_id /*from*/, const request::slice_handover& body
) {
    this->out.emplace_back(body);
}

void round::take_message(
    host_id /*from*/, const upstream::suspicion_report& body
) {
    this->out.emplace_back(body);
}

void round::take_message(host_id from, const plan::plan_message& body) {
    this->out.emplace_back(plan_arrived{from, body});
}

void round::take_message(host_id from, const share::share_message& body) {
    this->out.emplace_back(share_arrived{from, body});
}

template <class Result>
void round::give_result(const Result& result) {
    const auto found = this->self.operations.find(result.id);
    if (found == this->self.operations.end()) {
        return;
    }
    const asked_operation asked = found->second;
    this->self.operations.erase(found);
    Result own = result;
    own.id = asked.id;
    switch (asked.by) {
    case part::participant:
        this->to_participant(own);
        break;
    case part::follower:
        if constexpr (std::is_same_v<Result, platform::rows_read>) {
            this->to_follower(own);
        }
        break;
    case part::owner:
        this->to_owner(own);
        break;
    case part::planner:
        this->to_planner(own);
        break;
    }
    this->tell_members();
    this->tell_digest();
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

void round::take(const upstream::suspicion_report& what) {
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

} // namespace

controller make_controller(const controller_settings& settings) {
    controller self;
    self.participant = lease::make_participant(settings.wish, settings.limits);
    self.gossip.self = settings.wish.self.host;
    self.gossip.seeds = settings.seeds;
    self.follower.peers = settings.seeds;
    self.planner.weights = settings.weights;
    return self;
}

actions
step(controller& self, const event& what, instant now, random_source& random) {
    actions out;
    round present{self, now, random, out};
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
