// Promises, consents and reports of a guardian.

#include <apricotstile/lease/internal/guardian.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

/// Records that the guardian is listed under `generation`. The waiting time
/// before consent starts when the guardian is first listed. It restarts when a
/// holder whose deposition it consented to has raised its generation, so that
/// the holder's next heartbeat has time to arrive.
void record_listing(
    guarded_holder& known, guardian_generation generation, instant now
) {
    if (generation <= known.listed_generation) {
        return;
    }
    const bool is_new = known.listed_generation == guardian_generation{};
    const bool had_consented = known.consented >= known.listed_generation;
    known.listed_generation = generation;
    if (is_new || had_consented) {
        known.listed_since = now;
    }
}

/// The earliest time at which the guardian may consent.
instant earliest_consent(const guarded_holder& known, const policy& limits) {
    const instant since_listed =
        known.listed_since + guardian_lease_length(limits);
    return std::max(known.promised_until, since_listed);
}

bool is_listed(const guarded_holder& known) {
    return known.listed_generation != guardian_generation{};
}

bool is_suspect(
    const guarded_holder& known, const policy& limits, instant now
) {
    return is_listed(known) && earliest_consent(known, limits) <= now;
}

void schedule_next_report(
    guarded_holder& known, const policy& limits, instant now
) {
    if (known.report_interval == duration{}) {
        known.report_interval = limits.initial_report_interval;
        known.next_report = now + limits.planner_timeout;
        known.last_report = now;
        return;
    }
    if (known.last_request < known.last_report) {
        ++known.deputy;
    }
    known.next_report = now + known.report_interval;
    known.report_interval =
        std::min(known.report_interval * 2, limits.max_report_interval);
    known.last_report = now;
}

bool contains(
    const std::vector<member::member_ref>& guardians,
    const member::member_ref& self
) {
    return std::find(guardians.begin(), guardians.end(), self) !=
           guardians.end();
}

bool is_predecessor(
    const guardian_identity& own, const member::member_ref& guardian
) {
    return guardian.host == own.host &&
           (!own.self || guardian.incarnation < own.self->incarnation);
}

message answer_for_predecessor(
    const guardian_identity& own,
    const consent_request& request,
    const policy& limits,
    instant now
) {
    // Since then this process has received the predecessor's heartbeats and
    // made no promise, so after this time every earlier promise has expired.
    const instant earliest = own.since + guardian_lease_length(limits);
    if (now < earliest) {
        return consent_refusal{
            request.holder,
            request.guardian,
            request.generation,
            (earliest - now).count()};
    }
    return consent{request.holder, request.guardian, request.generation};
}

bool is_obsolete(
    const member::member_ref& holder,
    const guarded_holder& known,
    const member::member_ref& self,
    const member::member_set& members
) {
    if (member::has_ended(members, holder)) {
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
           record.generation > known.listed_generation &&
           !contains(record.guardians, self);
}

void erase_obsolete(
    guardian_state& state,
    host_id host,
    const member::member_ref& self,
    const member::member_set& members
) {
    auto one = state.holders.lower_bound({host, incarnation{}});
    while (one != state.holders.end() && one->first.host == host) {
        const bool obsolete =
            is_obsolete(one->first, one->second, self, members);
        one = obsolete ? state.holders.erase(one) : std::next(one);
    }
}

} // namespace

message answer(
    guardian_state& state,
    const guardian_identity& own,
    const heartbeat& request,
    const policy& limits,
    instant now
) {
    if (own.self != request.guardian) {
        return refusal{
            request.holder,
            request.guardian,
            refusal_reason::not_this_incarnation,
            request.generation};
    }
    guarded_holder& known = state.holders[request.holder];
    if (request.generation <= known.consented) {
        return refusal{
            request.holder,
            request.guardian,
            refusal_reason::consented,
            known.consented};
    }
    known.promised_until =
        std::max(known.promised_until, now + guardian_lease_length(limits));
    known.report_interval = {};
    known.deputy = 0;
    if (request.listed) {
        record_listing(known, request.generation, now);
    }
    return promise{request.holder, request.guardian, request.sent_ns};
}

message answer(
    guardian_state& state,
    const guardian_identity& own,
    const consent_request& request,
    const policy& limits,
    instant now
) {
    consent_refusal refused{
        request.holder, request.guardian, request.generation, -1};
    if (is_predecessor(own, request.guardian)) {
        return answer_for_predecessor(own, request, limits, now);
    }
    if (own.self != request.guardian) {
        return refused;
    }
    guarded_holder& known = state.holders[request.holder];
    record_listing(known, request.generation, now);
    known.last_request = now;
    if (request.generation < known.listed_generation) {
        return refused;
    }
    const instant earliest = earliest_consent(known, limits);
    if (now < earliest) {
        refused.retry_after_ns = (earliest - now).count();
        return refused;
    }
    known.consented = std::max(known.consented, request.generation);
    return consent{request.holder, request.guardian, request.generation};
}

void handle_release(guardian_state& state, const release& received) {
    const auto found = state.holders.find(received.holder);
    if (found == state.holders.end()) {
        return;
    }
    const guarded_holder& known = found->second;
    if (received.generation > known.consented &&
        received.generation > known.listed_generation) {
        state.holders.erase(found);
    }
}

void handle_member_rows(
    guardian_state& state,
    const member::member_ref& self,
    const member::member_set& members,
    const std::vector<member::member_row>& new_rows,
    instant now
) {
    for (const member::member_row& row : new_rows) {
        const member::member_record& record = row.record;
        erase_obsolete(state, record.self.host, self, members);
        if (!member::has_ended(members, record.self) &&
            contains(record.guardians, self)) {
            record_listing(state.holders[record.self], record.generation, now);
        }
    }
}

std::vector<due_report>
collect_due_reports(guardian_state& state, const policy& limits, instant now) {
    std::vector<due_report> due;
    for (auto& [holder, known] : state.holders) {
        if (!is_suspect(known, limits, now)) {
            continue;
        }
        if (known.report_interval != duration{} && now < known.next_report) {
            continue;
        }
        schedule_next_report(known, limits, now);
        due.push_back({{holder, known.listed_generation}, known.deputy});
    }
    return due;
}

} // namespace apricotstile::lease
