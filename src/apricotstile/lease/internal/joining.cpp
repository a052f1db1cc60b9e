// Implements the join procedure.

#include <apricotstile/lease/internal/joining.hpp>

#include <apricotstile/lease/internal/membership.hpp>
#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

duration random_up_to(duration longest, random_source& random) {
    const auto bound = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration{static_cast<duration::rep>(random_below(random, bound))};
}

void back_off(participant& self, instant now, random_source& random) {
    join_state& join = self.join;
    join.backoff = std::clamp(
        join.backoff * 2, self.limits.initial_backoff, self.limits.max_backoff
    );
    join.next_attempt =
        now + join.backoff / 2 + random_up_to(join.backoff / 2, random);
}

bool is_idle(const join_state& join) {
    const platform::operation_id none;
    return join.read == none && join.write == none && join.deposition == none;
}

/// An earlier incarnation may be deposed once its row was unchanged, and this
/// process has held the peers address, for a full lease. Promises sent to it
/// have arrived here instead, and a renewal would have changed the row.
bool may_depose_previous(const participant& self, instant now) {
    const join_state& join = self.join;
    return join.previous &&
           now - join.previous_since >= guardian_lease_length(self.limits);
}

void depose_previous(participant& self, actions& out) {
    member::member_record record = self.join.previous->record;
    record.state = member::member_state::deposed;
    self.join.deposition = next_operation(self.operations);
    out.emplace_back(platform::submit_transaction{
        self.join.deposition,
        member::conditional_write(record, self.join.previous->version)});
}

void wait_for_previous(
    participant& self, const member::member_row& row, instant now
) {
    join_state& join = self.join;
    if (!join.previous || join.previous->version != row.version) {
        join.previous = row;
        join.previous_since = now;
    }
    join.next_attempt =
        join.previous_since + guardian_lease_length(self.limits);
}

member::member_record
first_record(const participant& self, const member::member_row* before) {
    member::member_record record = self.desired;
    if (before != nullptr) {
        record.self.incarnation = next(before->record.self.incarnation);
        record.generation = next(before->record.generation);
    } else {
        record.self.incarnation = incarnation{1};
        record.generation = guardian_generation{1};
    }
    const member::guardian_criteria criteria{
        record.self.host, record.where, {}, {}};
    record.guardians = member::choose_guardians(criteria, self.members);
    return record;
}

void submit_join(
    participant& self,
    const member::member_row* before,
    instant now,
    actions& out
) {
    join_state& join = self.join;
    join.record = first_record(self, before);
    join.submitted = now;
    join.write = next_operation(self.operations);
    const auto version =
        before != nullptr ? before->version : platform::row_version{};
    out.emplace_back(platform::submit_transaction{
        join.write, member::conditional_write(join.record, version)});
}

std::size_t count_active(const participant& self) {
    return static_cast<std::size_t>(std::count_if(
        self.members.rows.begin(),
        self.members.rows.end(),
        [](const auto& one) {
            const auto state = one.second.record.state;
            return state == member::member_state::active;
        }
    ));
}

/// Whether to wait and read again, so that hosts that start together see each
/// other before each writes its row.
bool must_wait(participant& self) {
    const bool waits =
        !self.join.has_waited && count_active(self) < member::guardian_count;
    self.join.has_waited = true;
    return waits;
}

void become_member(
    participant& self, platform::row_version version, instant now, actions& out
) {
    const join_state join = self.join;
    self.stage = phase::joined;
    self.row = member::own_row{{version, join.record}, {}, {}, false};
    self.promises = {};
    self.repair = {};
    self.membership = {};
    if (!member::is_guarded(join.record)) {
        self.promises.renewed_until =
            join.submitted + holder_lease_length(self.limits);
    }
    self.join = {};
    out.emplace_back(join_completed{join.record.self});
    publish_own_row(self, out);
    reset_to_confirmed(self.repair, join.record, now);
}

} // namespace

void advance_join(participant& self, instant now, actions& out) {
    if (!is_idle(self.join) || now < self.join.next_attempt) {
        return;
    }
    if (may_depose_previous(self, now)) {
        depose_previous(self, out);
        return;
    }
    self.join.read = next_operation(self.operations);
    out.emplace_back(platform::read_rows{
        self.join.read, member::member_rows_prefix});
}

void handle_join_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    random_source& random,
    actions& out
) {
    if (answer.id != self.join.read) {
        return;
    }
    self.join.read = {};
    if (!answer.result.answered) {
        back_off(self, now, random);
        return;
    }
    member_rows_learned seen;
    for (const auto& row : member::decode_member_rows(answer.result.rows)) {
        if (member::merge(self.members, row)) {
            seen.rows.push_back(row);
        }
    }
    if (!seen.rows.empty()) {
        out.emplace_back(std::move(seen));
    }
    const member::member_row* before =
        member::find(self.members, self.desired.self.host);
    if (before != nullptr && owns_slices(before->record.state)) {
        wait_for_previous(self, *before, now);
        return;
    }
    self.join.previous.reset();
    if (must_wait(self)) {
        self.join.next_attempt =
            now + random_up_to(self.limits.max_join_delay, random);
        return;
    }
    submit_join(self, before, now, out);
}

void handle_join_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    random_source& random,
    actions& out
) {
    const bool committed =
        done.result.status == platform::commit_status::committed;
    if (done.id == self.join.write) {
        self.join.write = {};
        if (committed) {
            become_member(self, done.result.versions.at(0), now, out);
            return;
        }
        // If the write took effect, the next read finds an incarnation that
        // this process doesn't recognise as its own, and deposes it first.
        back_off(self, now, random);
    } else if (done.id == self.join.deposition) {
        self.join.deposition = {};
        if (!committed) {
            self.join.previous.reset();
            back_off(self, now, random);
            return;
        }
        out.emplace_back(members_deposed{{self.join.previous->record.self}});
        self.join.previous.reset();
    }
}

} // namespace apricotstile::lease
