// Promises, consents and reports of a guardian.

#include <apricotstile/lease/internal/guardian.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

/// Records that the guardian is listed under `generation`. The waiting time
/// before consent starts when the guardian is first listed. It restarts when a
/// holder whose deposition it consented to has raised its generation, so that
/// the holder's next heartbeat has time to arrive.
void learn_listed(ward& known, guardian_generation generation, instant now) {
    if (generation <= known.listed_under) {
        return;
    }
    const bool is_new = known.listed_under == guardian_generation{};
    const bool was_given_up = known.consented >= known.listed_under;
    known.listed_under = generation;
    if (is_new || was_given_up) {
        known.listed_since = now;
    }
}

/// The earliest time at which the guardian may consent.
instant bound_until(const ward& known, const policy& limits) {
    const instant since_listed = known.listed_since + promised_for(limits);
    return std::max(known.promised_until, since_listed);
}

bool is_listed(const ward& known) {
    return known.listed_under != guardian_generation{};
}

bool is_suspect(const ward& known, const policy& limits, instant now) {
    return is_listed(known) && bound_until(known, limits) <= now;
}

void count_report(ward& known, const policy& limits, instant now) {
    if (known.report_interval == duration{}) {
        known.report_interval = limits.first_report_interval;
        known.next_report = now + limits.planner_patience;
        known.last_report = now;
        return;
    }
    if (known.last_request < known.last_report) {
        ++known.deputy;
    }
    known.next_report = now + known.report_interval;
    known.report_interval =
        std::min(known.report_interval * 2, limits.longest_report_interval);
    known.last_report = now;
}

bool lists(
    const std::vector<member::member_ref>& guardians,
    const member::member_ref& self
) {
    return std::find(guardians.begin(), guardians.end(), self) !=
           guardians.end();
}

bool is_predecessor(
    const guardian_identity& own, const member::member_ref& asked
) {
    return asked.host == own.host &&
           (!own.self || asked.incarnation < own.self->incarnation);
}

message answer_for_predecessor(
    const guardian_identity& own,
    const consent_request& asked,
    const policy& limits,
    instant now
) {
    // Since then this process has received the predecessor's heartbeats and
    // made no promise, so after this time every earlier promise has expired.
    const instant bound = own.since + promised_for(limits);
    if (now < bound) {
        return consent_refusal{
            asked.holder,
            asked.guardian,
            asked.generation,
            (bound - now).count()};
    }
    return consent{asked.holder, asked.guardian, asked.generation};
}

bool is_settled(
    const member::member_ref& holder,
    const ward& known,
    const member::member_ref& self,
    const member::member_set& members
) {
    if (member::is_over(members, holder)) {
        return true;
    }
    const member::member_row* row = member::find(members, holder.host);
    if (row == nullptr || row->record.self != holder) {
        return false;
    }
    // A consent must be remembered until a newer generation replaces the one
    // that it was given for.
    const member::member_record& record = row->record;
    return record.generation > known.consented &&
           record.generation > known.listed_under &&
           !lists(record.guardians, self);
}

void forget_settled(
    guardian& state,
    host_id host,
    const member::member_ref& self,
    const member::member_set& members
) {
    auto one = state.wards.lower_bound({host, incarnation{}});
    while (one != state.wards.end() && one->first.host == host) {
        const bool settled = is_settled(one->first, one->second, self, members);
        one = settled ? state.wards.erase(one) : std::next(one);
    }
}

} // namespace

message answer(
    guardian& state,
    const guardian_identity& own,
    const heartbeat& asked,
    const policy& limits,
    instant now
) {
    if (own.self != asked.guardian) {
        return refusal{
            asked.holder,
            asked.guardian,
            refusal_reason::not_this_incarnation,
            asked.generation};
    }
    ward& known = state.wards[asked.holder];
    if (asked.generation <= known.consented) {
        return refusal{
            asked.holder,
            asked.guardian,
            refusal_reason::consented,
            known.consented};
    }
    known.promised_until =
        std::max(known.promised_until, now + promised_for(limits));
    known.report_interval = {};
    known.deputy = 0;
    if (asked.listed) {
        learn_listed(known, asked.generation, now);
    }
    return promise{asked.holder, asked.guardian, asked.sent_ns};
}

message answer(
    guardian& state,
    const guardian_identity& own,
    const consent_request& asked,
    const policy& limits,
    instant now
) {
    consent_refusal no{asked.holder, asked.guardian, asked.generation, -1};
    if (is_predecessor(own, asked.guardian)) {
        return answer_for_predecessor(own, asked, limits, now);
    }
    if (own.self != asked.guardian) {
        return no;
    }
    ward& known = state.wards[asked.holder];
    learn_listed(known, asked.generation, now);
    known.last_request = now;
    if (asked.generation < known.listed_under) {
        return no;
    }
    const instant bound = bound_until(known, limits);
    if (now < bound) {
        no.retry_after_ns = (bound - now).count();
        return no;
    }
    known.consented = std::max(known.consented, asked.generation);
    return consent{asked.holder, asked.guardian, asked.generation};
}

void take_release(guardian& state, const release& given) {
    const auto found = state.wards.find(given.holder);
    if (found == state.wards.end()) {
        return;
    }
    const ward& known = found->second;
    if (given.generation > known.consented &&
        given.generation > known.listed_under) {
        state.wards.erase(found);
    }
}

void take_members(
    guardian& state,
    const member::member_ref& self,
    const member::member_set& members,
    const std::vector<member::member_row>& news,
    instant now
) {
    for (const member::member_row& row : news) {
        const member::member_record& record = row.record;
        forget_settled(state, record.self.host, self, members);
        if (!member::is_over(members, record.self) &&
            lists(record.guardians, self)) {
            learn_listed(state.wards[record.self], record.generation, now);
        }
    }
}

std::vector<due_report>
take_due_reports(guardian& state, const policy& limits, instant now) {
    std::vector<due_report> due;
    for (auto& [holder, known] : state.wards) {
        if (!is_suspect(known, limits, now)) {
            continue;
        }
        if (known.report_interval != duration{} && now < known.next_report) {
            continue;
        }
        count_report(known, limits, now);
        due.push_back({{holder, known.listed_under}, known.deputy});
    }
    return due;
}

} // namespace apricotstile::lease
