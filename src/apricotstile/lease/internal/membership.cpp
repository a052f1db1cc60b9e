// Sends a member's heartbeats and writes its row.

#include <apricotstile/lease/internal/membership.hpp>

#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

/// How long expired promises are kept.
constexpr duration expired_promise_retention = 10s;

/// Time between checks of the guardian list.
constexpr duration repair_interval = 50ms;

repair_inputs repair_inputs_of(const participant& self) {
    return {self.row, self.members, self.promises, self.limits};
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
    if (now < self.membership.next_heartbeat) {
        return;
    }
    self.membership.next_heartbeat = now + self.limits.heartbeat;
    const auto& listed = confirmed(self).guardians;
    for (const member::member_ref& one : listed) {
        send_heartbeat(self, one, true, now, out);
    }
    std::vector<member::member_ref> others = pending_guardians(self);
    const auto added = new_guardians(self.repair, confirmed(self));
    others.insert(others.end(), added.begin(), added.end());
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    for (const member::member_ref& one : others) {
        if (std::count(listed.begin(), listed.end(), one) == 0) {
            send_heartbeat(self, one, false, now, out);
        }
    }
    drop_promises_before(self.promises, now - expired_promise_retention);
}

/// Whether a guardian has consented to a deposition under the current
/// generation. It promises again only under a newer one.
bool must_raise_generation(const participant& self) {
    return self.membership.consented != guardian_generation{} &&
           self.membership.consented >= confirmed(self).generation;
}

member::member_record wanted_record(const participant& self, instant now) {
    member::member_record record = confirmed(self);
    record.state = self.desired.state;
    record.services = self.desired.services;
    const guardian_proposal* proposal =
        ready_proposal(self.repair, repair_inputs_of(self), now);
    if (proposal == nullptr && !must_raise_generation(self)) {
        return record;
    }
    if (proposal != nullptr) {
        record.guardians = proposal->guardians;
    }
    record.generation =
        next(std::max(record.generation, self.membership.consented));
    return record;
}

bool renewal_is_due(const participant& self, instant now) {
    return !member::is_guarded(confirmed(self)) &&
           now >= self.membership.next_renewal;
}

void start_write(participant& self, instant now, actions& out) {
    const member::member_record wanted =
        self.row.pending ? self.row.pending->record : wanted_record(self, now);
    const bool differs = wanted != confirmed(self);
    if (!self.row.pending && !differs && !renewal_is_due(self, now)) {
        return;
    }
    self.membership.next_renewal = now + self.limits.table_renewal_interval;
    const auto operation = next_operation(self.operations);
    out.emplace_back(member::submit_write(self.row, wanted, operation, now));
}

void start_own_row_call(participant& self, instant now, actions& out) {
    const platform::operation_id none;
    const bool writing =
        self.row.pending && self.row.pending->operation != none;
    if (writing || self.row.read != none || now < self.membership.next_call) {
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

/// State of the member's row before an update is applied.
struct own_row_before {
    member::member_record record;
    instant first_submitted = instant::min();
};

own_row_before snapshot_own_row(const participant& self) {
    own_row_before before{confirmed(self), instant::min()};
    if (self.row.pending) {
        before.first_submitted = self.row.pending->first_submitted;
    }
    return before;
}

void apply_confirmation(
    participant& self, const own_row_before& before, instant now, actions& out
) {
    const bool renewed = !member::is_guarded(confirmed(self)) &&
                         before.first_submitted != instant::min();
    if (renewed) {
        self.promises.renewed_until = std::max(
            self.promises.renewed_until,
            before.first_submitted + holder_lease_length(self.limits)
        );
    }
    if (confirmed(self).guardians != before.record.guardians) {
        release_former_guardians(self, before.record, out);
        reset_to_confirmed(self.repair, confirmed(self), now);
    }
    if (confirmed(self).generation != before.record.generation) {
        self.membership.next_heartbeat = now;
    }
    publish_own_row(self, out);
    if (confirmed(self).state == member::member_state::left) {
        self.stage = phase::left;
        self.identity_since = now;
        out.emplace_back(leave_completed{});
    }
}

void end_membership(participant& self, instant now, actions& out) {
    const bool was_leaving = self.desired.state == member::member_state::left;
    out.emplace_back(membership_lost{confirmed(self).self});
    self.row = {};
    self.promises = {};
    self.repair = {};
    self.membership = {};
    self.join = {};
    self.join.next_attempt = now;
    self.identity_since = now;
    self.stage = was_leaving ? phase::left : phase::joining;
    if (was_leaving) {
        out.emplace_back(leave_completed{});
    }
}

void apply_row_change(
    participant& self,
    member::row_change change,
    const own_row_before& before,
    instant now,
    actions& out
) {
    switch (change) {
    case member::row_change::none:
        return;
    case member::row_change::confirmed:
        apply_confirmation(self, before, now, out);
        return;
    case member::row_change::ended:
        end_membership(self, now, out);
        return;
    }
}

} // namespace

void advance_membership(
    participant& self, instant now, random_source& random, actions& out
) {
    if (self.desired.state != member::member_state::left) {
        if (now >= self.membership.next_repair) {
            self.membership.next_repair = now + repair_interval;
            advance(self.repair, repair_inputs_of(self), now, random);
        }
        send_heartbeats(self, now, out);
    }
    start_own_row_call(self, now, out);
}

void handle_membership_rows(
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
        self.membership.next_call = now + self.limits.initial_backoff;
        return;
    }
    for (const auto& seen : member::decode_member_rows(answer.result.rows)) {
        if (seen.record.self.host != confirmed(self).self.host) {
            continue;
        }
        self.row.must_read = seen.version < self.row.confirmed.version;
        handle_own_row(self, seen, now, out);
        return;
    }
    self.membership.next_call = now + self.limits.initial_backoff;
}

void handle_membership_commit(
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
    const own_row_before before = snapshot_own_row(self);
    const member::row_change change = member::handle_commit(self.row, done);
    if (done.result.status == platform::commit_status::unavailable) {
        self.membership.next_call = now + self.limits.initial_backoff;
    }
    apply_row_change(self, change, before, now, out);
}

void handle_own_row(
    participant& self, const member::member_row& seen, instant now, actions& out
) {
    const own_row_before before = snapshot_own_row(self);
    const member::row_change change = member::handle_row(self.row, seen);
    apply_row_change(self, change, before, now, out);
}

void publish_own_row(participant& self, actions& out) {
    member::merge(self.members, self.row.confirmed);
    out.emplace_back(member_rows_learned{{self.row.confirmed}});
}

} // namespace apricotstile::lease
