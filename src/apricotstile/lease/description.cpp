// Builds a description from a participant's state.

#include <apricotstile/lease/description.hpp>

#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

std::string_view to_string(phase stage) {
    switch (stage) {
    case phase::joining:
        return "joining";
    case phase::joined:
        return "joined";
    case phase::left:
        return "left";
    }
    return "unknown";
}

duration remaining(instant until, instant now) {
    return until <= now ? duration{} : until - now;
}

guardian_description describe_guardian(
    const participant& self, const member::member_ref& one, instant now
) {
    guardian_description shown{one, {}, {}};
    const auto promised = self.promises.promised_until.find(one);
    if (promised != self.promises.promised_until.end()) {
        shown.promised_for = remaining(promised->second, now);
    }
    const auto answered = self.repair.last_answer.find(one);
    if (answered != self.repair.last_answer.end()) {
        shown.silent_for = remaining(now, answered->second);
    }
    return shown;
}

void describe_own_row(
    const participant& self, instant now, description& shown
) {
    const member::member_record& record = self.row.confirmed.record;
    shown.generation = record.generation;
    shown.renews_in_table = !member::is_guarded(record);
    shown.write_pending = self.row.pending.has_value();
    for (const member::member_ref& one : record.guardians) {
        shown.guardians.push_back(describe_guardian(self, one, now));
    }
}

} // namespace

description describe(const participant& self, instant now) {
    description shown;
    shown.stage = to_string(self.stage);
    shown.self = self_ref(self);
    shown.lease_valid_for = remaining(lease_valid_until(self), now);
    if (self.stage == phase::joined) {
        describe_own_row(self, now, shown);
    }
    for (const auto& [holder, known] : self.guardian.holders) {
        shown.guarded_holders.push_back(
            {holder,
             known.listed_generation,
             remaining(known.promised_until, now),
             known.consented >= known.listed_generation &&
                 known.consented != guardian_generation{}}
        );
    }
    for (const auto& [holder, one] : self.depositions.suspects) {
        shown.suspects.push_back(holder);
    }
    shown.known_members = self.members.rows.size();
    shown.planner = self.planner;
    return shown;
}

} // namespace apricotstile::lease
