// Implements the join procedure.

#include <apricotstile/lease/internal/joining.hpp>

#include <apricotstile/lease/internal/keeping.hpp>
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
    joining& join = self.join;
    join.backoff = std::clamp(
        join.backoff * 2, self.limits.first_backoff, self.limits.longest_backoff
    );
    join.next_attempt =
        now + join.backoff / 2 + random_up_to(join.backoff / 2, random);
}

bool is_idle(const joining& join) {
    const platform::operation_id none;
    return join.read == none && join.join == none && join.deposition == none;
}

/// An earlier incarnation may be deposed once its row was unchanged, and this
/// process has held the peers address, for a full lease. Promises sent to it
/// have arrived here instead, and a renewal would have changed the row.
bool may_depose_previous(const participant& self, instant now) {
    const joining& join = self.join;
    return join.previous &&
           now - join.previous_since >= promised_for(self.limits);
}

void depose_previous(participant& self, actions& out) {
    member::member_record record = self.join.previous->record;
    record.state = member::member_state::deposed;
    self.join.deposition = next_operation(self.operations);
    out.emplace_back(platform::submit_transaction{
        self.join.deposition,
        member::conditional_write(record, self.join.previous->version)});
}

void await_previous(
    participant& self, const member::member_row& row, instant now
) {
    joining& join = self.join;
    if (!join.previous || join.previous->version != row.version) {
        join.previous = row;
        join.previous_since = now;
    }
    join.next_attempt = join.previous_since + promised_for(self.limits);
}

member::member_record
first_record(const participant& self, const member::member_row* before) {
    member::member_record record = self.wish;
    if (before != nullptr) {
        record.self.incarnation = next(before->record.self.incarnation);
        record.generation = next(before->record.generation);
    } else {
        record.self.incarnation = incarnation{1};
        record.generation = guardian_generation{1};
    }
    const member::guardian_wish wish{record.self.host, record.where, {}, {}};
    record.guardians = member::choose_guardians(wish, self.members);
    return record;
}

void submit_join(
    participant& self,
    const member::member_row* before,
    instant now,
    actions& out
) {
    joining& join = self.join;
    join.record = first_record(self, before);
    join.submitted = now;
    join.join = next_operation(self.operations);
    const auto version =
        before != nullptr ? before->version : platform::row_version{};
    out.emplace_back(platform::submit_transaction{
        join.join, member::conditional_write(join.record, version)});
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
bool must_spread(participant& self) {
    const bool spreads =
        !self.join.has_spread && count_active(self) < member::guardian_count;
    self.join.has_spread = true;
    return spreads;
}

void become_member(
    participant& self, platform::row_version version, instant now, actions& out
) {
    const joining join = self.join;
    self.stage = phase::joined;
    self.row = member::own_row{{version, join.record}, {}, {}, false};
    self.held = {};
    self.repair = {};
    self.keep = {};
    if (!member::is_guarded(join.record)) {
        self.held.renewed_until = join.submitted + held_for(self.limits);
    }
    self.join = {};
    out.emplace_back(joined{join.record.self});
    spread_own_row(self, out);
    take_confirmed(self.repair, join.record, now);
}

} // namespace

void advance_joining(participant& self, instant now, actions& out) {
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

void take_joining_rows(
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
    members_seen seen;
    for (const auto& row : member::decode_member_rows(answer.result.rows)) {
        if (member::merge(self.members, row)) {
            seen.rows.push_back(row);
        }
    }
    if (!seen.rows.empty()) {
        out.emplace_back(std::move(seen));
    }
    const member::member_row* before =
        member::find(self.members, self.wish.self.host);
    if (before != nullptr && owns_slices(before->record.state)) {
        await_previous(self, *before, now);
        return;
    }
    self.join.previous.reset();
    if (must_spread(self)) {
        self.join.next_attempt =
            now + random_up_to(self.limits.join_spread, random);
        return;
    }
    submit_join(self, before, now, out);
}

void take_joining_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    random_source& random,
    actions& out
) {
    const bool committed =
        done.result.status == platform::commit_status::committed;
    if (done.id == self.join.join) {
        self.join.join = {};
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
