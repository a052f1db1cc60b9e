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
        self.wish.self.host, std::nullopt, *self.identity_since};
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
        const bool near_planner = planner != nullptr &&
                                  self.members.rows.size() > 4 &&
                                  row.record.where == planner->record.where;
        if (host == self.planner || near_planner ||
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
        return self.wish.self.host;
    }
    std::sort(ranked.begin(), ranked.end());
    return ranked[(number - 1) % ranked.size()].second;
}

host_id report_to(const participant& self, const due_report& due) {
    const bool planner_serves =
        self.planner != host_id{} && self.planner != due.body.holder.host;
    if (due.deputy == 0 && planner_serves) {
        return self.planner;
    }
    return deputy_of(self, std::max<std::size_t>(due.deputy, 1));
}

void suspect_member(const context& in, const suspicion& told) {
    if (told.holder.host != in.self.wish.self.host) {
        take_suspicion(in.self.deposing, told, in.self.limits, in.now);
    }
}

void report_suspects(const context& in) {
    participant& self = in.self;
    for (const due_report& due :
         take_due_reports(self.guarding, self.limits, in.now)) {
        const host_id to = report_to(self, due);
        if (to == self.wish.self.host) {
            suspect_member(in, due.body);
            continue;
        }
        in.out.emplace_back(send_message{to, due.body});
    }
}

/// Number of deputies that watch rows renewed in the table in addition to the
/// planner, so that loss of the planner itself is detected.
constexpr std::size_t watching_deputies = 2;

bool knows_unguarded(const participant& self) {
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
        if (deputy_of(self, number) == self.wish.self.host) {
            return true;
        }
    }
    return false;
}

/// Whether this daemon must read the rows of members that renew in the table.
bool watches_table(const participant& self) {
    if (!member::is_guarded(self.row.confirmed.record)) {
        return true;
    }
    return knows_unguarded(self) &&
           (self.planner == self.wish.self.host || is_watching_deputy(self));
}

void review_watch(const context& in) {
    watch_review& review = in.self.watching;
    if (in.now < review.next) {
        return;
    }
    review.next = in.now + in.self.limits.table_renewal;
    review.watches = watches_table(in.self);
}

void on(const context& in, const tick& what) {
    (void)what;
    participant& self = in.self;
    if (self.stage == phase::joining) {
        advance_joining(self, in.now, in.out);
    }
    if (self.stage != phase::joined) {
        return;
    }
    advance_keeping(self, in.now, in.random, in.out);
    report_suspects(in);
    review_watch(in);
    advance(
        self.deposing,
        self.watching.watches,
        self.operations,
        self.limits,
        in.now,
        in.out
    );
}

void reply(const context& in, host_id to, const message& body) {
    in.out.emplace_back(send_message{to, body});
}

void take(const context& in, host_id from, const heartbeat& body) {
    participant& self = in.self;
    if (from != body.holder.host) {
        return;
    }
    // The guardian no longer remembers its consent to depose a holder that is
    // known to own nothing, so it must not promise anything to it.
    if (member::is_over(self.members, body.holder)) {
        reply(
            in,
            from,
            refusal{
                body.holder,
                body.guardian,
                refusal_reason::holder_is_over,
                body.generation}
        );
        return;
    }
    const guardian_identity own = identity_of(self);
    reply(in, from, answer(self.guarding, own, body, self.limits, in.now));
}

bool is_for(const participant& self, const member::member_ref& holder) {
    return self.stage == phase::joined &&
           holder == self.row.confirmed.record.self;
}

void note_answer(
    participant& self, const member::member_ref& guardian, instant now
) {
    const auto known = self.repair.last_answer.find(guardian);
    if (known != self.repair.last_answer.end()) {
        known->second = now;
    }
}

void take(const context& in, host_id from, const promise& body) {
    participant& self = in.self;
    if (!is_for(self, body.holder) || from != body.guardian.host) {
        return;
    }
    take_promise(self.held, body, self.limits);
    note_answer(self, body.guardian, in.now);
}

void take(const context& in, host_id from, const refusal& body) {
    participant& self = in.self;
    if (!is_for(self, body.holder) || from != body.guardian.host) {
        return;
    }
    if (body.reason == refusal_reason::not_this_incarnation) {
        self.repair.gone.insert(body.guardian);
        return;
    }
    note_answer(self, body.guardian, in.now);
    if (body.reason == refusal_reason::holder_is_over) {
        self.row.must_read = true;
        return;
    }
    self.keep.consented = std::max(self.keep.consented, body.generation);
}

void take(const context& in, host_id from, const release& body) {
    if (from == body.holder.host) {
        take_release(in.self.guarding, body);
    }
}

void take(const context& in, host_id from, const suspicion& body) {
    (void)from;
    suspect_member(in, body);
}

void take(const context& in, host_id from, const consent_request& body) {
    participant& self = in.self;
    const guardian_identity own = identity_of(self);
    reply(in, from, answer(self.guarding, own, body, self.limits, in.now));
}

void take(const context& in, host_id from, const consent& body) {
    if (from == body.guardian.host) {
        take_consent(in.self.deposing, body);
    }
}

void take(const context& in, host_id from, const consent_refusal& body) {
    if (from == body.guardian.host) {
        take_refusal(in.self.deposing, body, in.self.limits, in.now);
    }
}

void on(const context& in, const message_received& what) {
    std::visit(
        [&](const auto& body) {
            take(in, what.from, body);
        },
        what.body
    );
}

/// Merges `rows` and returns those that are new or newer.
std::vector<member::member_row>
learn_members(const context& in, const std::vector<member::member_row>& rows) {
    participant& self = in.self;
    std::vector<member::member_row> news;
    for (const member::member_row& row : rows) {
        if (member::merge(self.members, row)) {
            news.push_back(row);
        }
        const bool own = row.record.self.host == self.wish.self.host;
        if (own && self.stage == phase::joined) {
            take_own_sighting(self, row, in.now, in.out);
        }
    }
    if (!news.empty() && self.stage == phase::joined) {
        const member::member_ref own = self.row.confirmed.record.self;
        take_members(self.guarding, own, self.members, news, in.now);
    }
    return news;
}

/// Merges rows read from or written to the table and publishes the new ones.
void show_news(const context& in, const std::vector<member::member_row>& rows) {
    std::vector<member::member_row> news = learn_members(in, rows);
    if (!news.empty()) {
        in.out.emplace_back(members_seen{std::move(news)});
    }
}

void on(const context& in, const platform::transaction_done& what) {
    participant& self = in.self;
    if (self.stage == phase::joining) {
        take_joining_commit(self, what, in.now, in.random, in.out);
    } else if (self.stage == phase::joined) {
        take_keeping_commit(self, what, in.now, in.out);
    }
    show_news(
        in, take_commit(self.deposing, what, self.limits, in.now, in.out)
    );
}

void on(const context& in, const platform::rows_read& what) {
    participant& self = in.self;
    if (self.stage == phase::joining) {
        take_joining_rows(self, what, in.now, in.random, in.out);
    } else if (self.stage == phase::joined) {
        take_keeping_rows(self, what, in.now, in.out);
    }
    const auto rows = take_rows(self.deposing, what, self.limits, in.now);
    std::erase_if(self.deposing.watched, [&](const auto& one) {
        return one.first.host == self.wish.self.host;
    });
    show_news(in, rows);
}

void on(const context& in, const members_changed& what) {
    (void)learn_members(in, what.rows);
}

void on(const context& in, const planner_changed& what) {
    in.self.planner = what.planner;
}

void on(const context& in, const services_changed& what) {
    in.self.wish.services = what.services;
}

void on(const context& in, const drain_requested& what) {
    (void)what;
    if (in.self.wish.state == member::member_state::active) {
        in.self.wish.state = member::member_state::draining;
    }
}

void on(const context& in, const leave_requested& what) {
    (void)what;
    participant& self = in.self;
    self.wish.state = member::member_state::left;
    if (self.stage == phase::joining) {
        self.stage = phase::left;
        in.out.emplace_back(left{});
    }
}

} // namespace

participant make_participant(member::member_record wish, const policy& limits) {
    participant self;
    self.limits = limits;
    self.wish = std::move(wish);
    self.wish.self.incarnation = {};
    self.wish.guardians.clear();
    return self;
}

actions
step(participant& self, const event& what, instant now, random_source& random) {
    if (!self.identity_since) {
        self.identity_since = now;
    }
    actions out;
    const context in{self, now, random, out};
    std::visit(
        [&](const auto& one) {
            on(in, one);
        },
        what
    );
    return out;
}

instant lease_valid_until(const participant& self) {
    if (!may_own(self)) {
        return instant::min();
    }
    return valid_until(self.held, self.row, self.limits);
}

bool may_own(const participant& self) {
    return self.stage == phase::joined &&
           self.wish.state != member::member_state::left;
}

member::member_ref self_ref(const participant& self) {
    if (self.stage != phase::joined) {
        return {self.wish.self.host, {}};
    }
    return self.row.confirmed.record.self;
}

} // namespace apricotstile::lease
