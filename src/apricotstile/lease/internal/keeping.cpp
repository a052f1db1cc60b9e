// Sends a member's heartbeats and writes its row.

#include <apricotstile/lease/internal/keeping.hpp>

#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

/// How long expired promises are kept.
constexpr duration promise_memory = 10s;

/// Time between checks of the guardian list.
constexpr duration repair_interval = 50ms;

repair_view view_of(const participant& self) {
    return {self.row, self.members, self.held, self.limits};
}

const member::member_record& confirmed(const participant& self) {
    return self.row.confirmed.record;
}

void send_heartbeat(
    const participant& self,
    const member::member_ref& guardian,
    bool listed,
    instant now,
    actions& out
) {
    const member::member_record& record = confirmed(self);
    const heartbeat body{
        record.self,
        guardian,
        record.generation,
        now.time_since_epoch().count(),
        listed};
    out.emplace_back(send_message{guardian.host, body});
}

/// Guardians of a list that was submitted but isn't confirmed yet.
std::vector<member::member_ref> pending_guardians(const participant& self) {
    if (!self.row.pending) {
        return {};
    }
    return self.row.pending->record.guardians;
}

void send_heartbeats(participant& self, instant now, actions& out) {
    if (now < self.keep.next_heartbeat) {
        return;
    }
    self.keep.next_heartbeat = now + self.limits.heartbeat;
    const auto& listed = confirmed(self).guardians;
    for (const member::member_ref& one : listed) {
        send_heartbeat(self, one, true, now, out);
    }
    std::vector<member::member_ref> others = pending_guardians(self);
    const auto asked = newcomers(self.repair, confirmed(self));
    others.insert(others.end(), asked.begin(), asked.end());
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    for (const member::member_ref& one : others) {
        if (std::count(listed.begin(), listed.end(), one) == 0) {
            send_heartbeat(self, one, false, now, out);
        }
    }
    forget_promises_before(self.held, now - promise_memory);
}

/// Whether a guardian has consented to a deposition under the current
/// generation. It promises again only under a newer one.
bool must_raise_generation(const participant& self) {
    return self.keep.consented != guardian_generation{} &&
           self.keep.consented >= confirmed(self).generation;
}

member::member_record wanted_record(const participant& self, instant now) {
    member::member_record record = confirmed(self);
    record.state = self.wish.state;
    record.services = self.wish.services;
    const guardian_trial* trial = ready_trial(self.repair, view_of(self), now);
    if (trial == nullptr && !must_raise_generation(self)) {
        return record;
    }
    if (trial != nullptr) {
        record.guardians = trial->guardians;
    }
    record.generation = next(std::max(record.generation, self.keep.consented));
    return record;
}

bool renewal_is_due(const participant& self, instant now) {
    return !member::is_guarded(confirmed(self)) &&
           now >= self.keep.next_renewal;
}

void start_write(participant& self, instant now, actions& out) {
    const member::member_record wanted =
        self.row.pending ? self.row.pending->record : wanted_record(self, now);
    const bool differs = wanted != confirmed(self);
    if (!self.row.pending && !differs && !renewal_is_due(self, now)) {
        return;
    }
    self.keep.next_renewal = now + self.limits.table_renewal;
    const auto operation = next_operation(self.operations);
    out.emplace_back(member::submit_write(self.row, wanted, operation, now));
}

void start_own_call(participant& self, instant now, actions& out) {
    const platform::operation_id none;
    const bool writing =
        self.row.pending && self.row.pending->operation != none;
    if (writing || self.row.read != none || now < self.keep.next_call) {
        return;
    }
    if (!self.row.must_read) {
        start_write(self, now, out);
        return;
    }
    self.row.read = next_operation(self.operations);
    out.emplace_back(platform::read_rows{
        self.row.read, member::member_row_key(confirmed(self).self.host)});
}

void release_former_guardians(
    const participant& self, const member::member_record& before, actions& out
) {
    const member::member_record& record = confirmed(self);
    for (const member::member_ref& one : before.guardians) {
        const auto& now_listed = record.guardians;
        if (std::count(now_listed.begin(), now_listed.end(), one) == 0) {
            const release body{record.self, record.generation};
            out.emplace_back(send_message{one.host, body});
        }
    }
}

/// Own row's state before an update is applied.
struct row_before {
    member::member_record record;
    instant first_submitted = instant::min();
};

row_before remember(const participant& self) {
    row_before before{confirmed(self), instant::min()};
    if (self.row.pending) {
        before.first_submitted = self.row.pending->first_submitted;
    }
    return before;
}

void take_confirmation(
    participant& self, const row_before& before, instant now, actions& out
) {
    const bool renewed = !member::is_guarded(confirmed(self)) &&
                         before.first_submitted != instant::min();
    if (renewed) {
        self.held.renewed_until = std::max(
            self.held.renewed_until,
            before.first_submitted + held_for(self.limits)
        );
    }
    if (confirmed(self).guardians != before.record.guardians) {
        release_former_guardians(self, before.record, out);
        take_confirmed(self.repair, confirmed(self), now);
    }
    if (confirmed(self).generation != before.record.generation) {
        self.keep.next_heartbeat = now;
    }
    spread_own_row(self, out);
    if (confirmed(self).state == member::member_state::left) {
        self.stage = phase::left;
        self.identity_since = now;
        out.emplace_back(left{});
    }
}

void end_membership(participant& self, instant now, actions& out) {
    const bool was_leaving = self.wish.state == member::member_state::left;
    out.emplace_back(membership_lost{confirmed(self).self});
    self.row = {};
    self.held = {};
    self.repair = {};
    self.keep = {};
    self.join = {};
    self.join.next_attempt = now;
    self.identity_since = now;
    self.stage = was_leaving ? phase::left : phase::joining;
    if (was_leaving) {
        out.emplace_back(left{});
    }
}

void take_news(
    participant& self,
    member::row_news news,
    const row_before& before,
    instant now,
    actions& out
) {
    switch (news) {
    case member::row_news::none:
        return;
    case member::row_news::confirmed:
        take_confirmation(self, before, now, out);
        return;
    case member::row_news::over:
        end_membership(self, now, out);
        return;
    }
}

} // namespace

void advance_keeping(
    participant& self, instant now, random_source& random, actions& out
) {
    if (self.wish.state != member::member_state::left) {
        if (now >= self.keep.next_repair) {
            self.keep.next_repair = now + repair_interval;
            advance(self.repair, view_of(self), now, random);
        }
        send_heartbeats(self, now, out);
    }
    start_own_call(self, now, out);
}

void take_keeping_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    actions& out
) {
    if (answer.id != self.row.read) {
        return;
    }
    self.row.read = {};
    if (!answer.result.answered) {
        self.keep.next_call = now + self.limits.first_backoff;
        return;
    }
    for (const auto& seen : member::decode_member_rows(answer.result.rows)) {
        if (seen.record.self.host != confirmed(self).self.host) {
            continue;
        }
        self.row.must_read = seen.version < self.row.confirmed.version;
        take_own_sighting(self, seen, now, out);
        return;
    }
    self.keep.next_call = now + self.limits.first_backoff;
}

void take_keeping_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    actions& out
) {
    const bool is_own =
        self.row.pending && self.row.pending->operation == done.id;
    if (!is_own) {
        return;
    }
    const row_before before = remember(self);
    const member::row_news news = member::take_commit(self.row, done);
    if (done.result.status == platform::commit_status::unavailable) {
        self.keep.next_call = now + self.limits.first_backoff;
    }
    take_news(self, news, before, now, out);
}

void take_own_sighting(
    participant& self, const member::member_row& seen, instant now, actions& out
) {
    const row_before before = remember(self);
    const member::row_news news = member::take_sighting(self.row, seen);
    take_news(self, news, before, now, out);
}

void spread_own_row(participant& self, actions& out) {
    member::merge(self.members, self.row.confirmed);
    out.emplace_back(members_seen{{self.row.confirmed}});
}

} // namespace apricotstile::lease
