// Dispatches events to the components of a participant.

#include <apricotstile/lease/participant.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::lease {

namespace {

struct context {
    participant& self;
    instant now;
    random_source& random;
    actions& out;
};

guardian_identity identity_of(const participant& self) {
    guardian_identity own{
        self.desired.self.host, std::nullopt, *self.identity_since};
    if (self.stage == phase::joined) {
        own.self = self.row.confirmed.record.self;
    }
    return own;
}

/// The host that handles depositions in place of a planner that doesn't
/// respond. All daemons that know the same members compute the same host.
host_id deputy_of(const participant& self, std::size_t number) {
    const member::member_row* planner =
        member::find(self.members, self.planner);
    std::vector<std::pair<std::uint64_t, host_id>> ranked;
    for (const auto& [host, row] : self.members.rows) {
        const bool in_planner_domain =
            planner != nullptr && self.members.rows.size() > 4 &&
            row.record.where == planner->record.where;
        if (host == self.planner || in_planner_domain ||
            row.record.state != member::member_state::active) {
            continue;
        }
        const std::array<std::uint64_t, 2> pair{self.planner.value, host.value};
        const std::uint64_t rank = stable_hash(
            {reinterpret_cast<const char*>(pair.data()), sizeof(pair)}
        );
        ranked.emplace_back(rank, host);
    }
    if (ranked.empty()) {
        return self.desired.self.host;
    }
    std::sort(ranked.begin(), ranked.end());
    return ranked[(number - 1) % ranked.size()].second;
}

host_id report_recipient(const participant& self, const due_report& due) {
    const bool planner_can_depose =
        self.planner != host_id{} && self.planner != due.body.holder.host;
    if (due.deputy == 0 && planner_can_depose) {
        return self.planner;
    }
    return deputy_of(self, std::max<std::size_t>(due.deputy, 1));
}

void suspect_member(const context& in, const suspicion& report) {
    if (report.holder.host != in.self.desired.self.host) {
        handle_suspicion(in.self.depositions, report, in.self.limits, in.now);
    }
}

void report_suspects(const context& in) {
    participant& self = in.self;
    for (const due_report& due :
         collect_due_reports(self.guardian, self.limits, in.now)) {
        const host_id to = report_recipient(self, due);
        if (to == self.desired.self.host) {
            suspect_member(in, due.body);
            continue;
        }
        in.out.emplace_back(send_message{to, due.body});
    }
}

/// Number of deputies that watch rows renewed in the table in addition to the
/// planner, so that loss of the planner itself is detected.
constexpr std::size_t watching_deputies = 2;

bool has_unguarded_members(const participant& self) {
    return std::any_of(
        self.members.rows.begin(),
        self.members.rows.end(),
        [](const auto& one) {
            const member::member_record& record = one.second.record;
            return !member::is_guarded(record) && owns_slices(record.state);
        }
    );
}

bool is_watching_deputy(const participant& self) {
    for (std::size_t number = 1; number <= watching_deputies; ++number) {
        if (deputy_of(self, number) == self.desired.self.host) {
            return true;
        }
    }
    return false;
}

/// Whether this daemon must read the rows of members that renew in the table.
bool must_watch_table(const participant& self) {
    if (!member::is_guarded(self.row.confirmed.record)) {
        return true;
    }
    return has_unguarded_members(self) &&
           (self.planner == self.desired.self.host || is_watching_deputy(self));
}

void review_watch(const context& in) {
    table_watch_state& state = in.self.table_watch;
    if (in.now < state.next_review) {
        return;
    }
    state.next_review = in.now + in.self.limits.table_renewal_interval;
    state.enabled = must_watch_table(in.self);
}

void handle(const context& in, const tick& received) {
    (void)received;
    participant& self = in.self;
    if (self.stage == phase::joining) {
        advance_join(self, in.now, in.out);
    }
    if (self.stage != phase::joined) {
        return;
    }
    advance_membership(self, in.now, in.random, in.out);
    report_suspects(in);
    review_watch(in);
    advance(
        self.depositions,
        self.table_watch.enabled,
        self.operations,
        self.limits,
        in.now,
        in.out
    );
}

void reply(const context& in, host_id to, const message& body) {
    in.out.emplace_back(send_message{to, body});
}

void handle_message(const context& in, host_id from, const heartbeat& body) {
    participant& self = in.self;
    if (from != body.holder.host) {
        return;
    }
    // The guardian no longer remembers its consent to depose a holder that is
    // known to own nothing, so it must not promise anything to it.
    if (member::has_ended(self.members, body.holder)) {
        reply(
            in,
            from,
            refusal{
                body.holder,
                body.guardian,
                refusal_reason::holder_has_ended,
                body.generation}
        );
        return;
    }
    const guardian_identity own = identity_of(self);
    reply(in, from, answer(self.guardian, own, body, self.limits, in.now));
}

bool is_current_member(
    const participant& self, const member::member_ref& holder
) {
    return self.stage == phase::joined &&
           holder == self.row.confirmed.record.self;
}

void record_answer(
    participant& self, const member::member_ref& guardian, instant now
) {
    const auto known = self.repair.last_answer.find(guardian);
    if (known != self.repair.last_answer.end()) {
        known->second = now;
    }
}

void handle_message(const context& in, host_id from, const promise& body) {
    participant& self = in.self;
    if (!is_current_member(self, body.holder) || from != body.guardian.host) {
        return;
    }
    handle_promise(self.promises, body, self.limits);
    record_answer(self, body.guardian, in.now);
}

void handle_message(const context& in, host_id from, const refusal& body) {
    participant& self = in.self;
    if (!is_current_member(self, body.holder) || from != body.guardian.host) {
        return;
    }
    if (body.reason == refusal_reason::not_this_incarnation) {
        self.repair.ended_incarnations.insert(body.guardian);
        return;
    }
    record_answer(self, body.guardian, in.now);
    if (body.reason == refusal_reason::holder_has_ended) {
        self.row.must_read = true;
        return;
    }
    self.membership.consented =
        std::max(self.membership.consented, body.generation);
}

void handle_message(const context& in, host_id from, const release& body) {
    if (from == body.holder.host) {
        handle_release(in.self.guardian, body);
    }
}

void handle_message(const context& in, host_id from, const suspicion& body) {
    (void)from;
    suspect_member(in, body);
}

void handle_message(
    const context& in, host_id from, const consent_request& body
) {
    participant& self = in.self;
    const guardian_identity own = identity_of(self);
    reply(in, from, answer(self.guardian, own, body, self.limits, in.now));
}

void handle_message(const context& in, host_id from, const consent& body) {
    if (from == body.guardian.host) {
        handle_consent(in.self.depositions, body);
    }
}

void handle_message(
    const context& in, host_id from, const consent_refusal& body
) {
    if (from == body.guardian.host) {
        handle_consent_refusal(
            in.self.depositions, body, in.self.limits, in.now
        );
    }
}

void handle(const context& in, const message_received& received) {
    std::visit(
        [&](const auto& body) {
            handle_message(in, received.from, body);
        },
        received.body
    );
}

/// Merges `rows` and returns those that are new or newer.
std::vector<member::member_row>
merge_rows(const context& in, const std::vector<member::member_row>& rows) {
    participant& self = in.self;
    std::vector<member::member_row> new_rows;
    for (const member::member_row& row : rows) {
        if (member::merge(self.members, row)) {
            new_rows.push_back(row);
        }
        const bool own = row.record.self.host == self.desired.self.host;
        if (own && self.stage == phase::joined) {
            handle_own_row(self, row, in.now, in.out);
        }
    }
    if (!new_rows.empty() && self.stage == phase::joined) {
        const member::member_ref own = self.row.confirmed.record.self;
        handle_member_rows(self.guardian, own, self.members, new_rows, in.now);
    }
    return new_rows;
}

/// Merges rows read from or written to the table and publishes the new ones.
void publish_new_rows(
    const context& in, const std::vector<member::member_row>& rows
) {
    std::vector<member::member_row> new_rows = merge_rows(in, rows);
    if (!new_rows.empty()) {
        in.out.emplace_back(member_rows_learned{std::move(new_rows)});
    }
}

void handle(const context& in, const platform::transaction_done& received) {
    participant& self = in.self;
    if (self.stage == phase::joining) {
        handle_join_commit(self, received, in.now, in.random, in.out);
    } else if (self.stage == phase::joined) {
        handle_membership_commit(self, received, in.now, in.out);
    }
    publish_new_rows(
        in,
        handle_commit(self.depositions, received, self.limits, in.now, in.out)
    );
}

void handle(const context& in, const platform::rows_read& received) {
    participant& self = in.self;
    if (self.stage == phase::joining) {
        handle_join_rows(self, received, in.now, in.random, in.out);
    } else if (self.stage == phase::joined) {
        handle_membership_rows(self, received, in.now, in.out);
    }
    const auto rows =
        handle_rows(self.depositions, received, self.limits, in.now);
    std::erase_if(self.depositions.watched, [&](const auto& one) {
        return one.first.host == self.desired.self.host;
    });
    publish_new_rows(in, rows);
}

void handle(const context& in, const member_rows_received& received) {
    (void)merge_rows(in, received.rows);
}

void handle(const context& in, const planner_changed& received) {
    in.self.planner = received.planner;
}

void handle(const context& in, const services_changed& received) {
    in.self.desired.services = received.services;
}

void handle(const context& in, const drain_requested& received) {
    (void)received;
    if (in.self.desired.state == member::member_state::active) {
        in.self.desired.state = member::member_state::draining;
    }
}

void handle(const context& in, const leave_requested& received) {
    (void)received;
    participant& self = in.self;
    self.desired.state = member::member_state::left;
    if (self.stage == phase::joining) {
        self.stage = phase::left;
        in.out.emplace_back(leave_completed{});
    }
}

} // namespace

participant
make_participant(member::member_record desired, const policy& limits) {
    participant self;
    self.limits = limits;
    self.desired = std::move(desired);
    self.desired.self.incarnation = {};
    self.desired.guardians.clear();
    return self;
}

actions step(
    participant& self, const event& received, instant now, random_source& random
) {
    if (!self.identity_since) {
        self.identity_since = now;
    }
    actions out;
    const context in{self, now, random, out};
    std::visit(
        [&](const auto& one) {
            handle(in, one);
        },
        received
    );
    return out;
}

instant lease_valid_until(const participant& self) {
    if (!may_own(self)) {
        return instant::min();
    }
    return valid_until(self.promises, self.row, self.limits);
}

bool may_own(const participant& self) {
    return self.stage == phase::joined &&
           self.desired.state != member::member_state::left;
}

member::member_ref self_ref(const participant& self) {
    if (self.stage != phase::joined) {
        return {self.desired.self.host, {}};
    }
    return self.row.confirmed.record.self;
}

} // namespace apricotstile::lease
