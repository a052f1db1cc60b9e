// Decides about changes of this member's guardian list.

#include <apricotstile/lease/internal/repair.hpp>

#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

using guardian_list = std::vector<member::member_ref>;

/// How long a host whose daemon has restarted isn't chosen as a guardian.
constexpr duration restarted_host_avoidance = 5s;

/// After a gap longer than this between its own steps, a member doesn't count
/// the time as silence of its guardians: the process itself was paused.
constexpr duration own_pause_threshold = 500ms;

bool contains(const guardian_list& list, const member::member_ref& one) {
    return std::find(list.begin(), list.end(), one) != list.end();
}

bool is_silent(
    const guardian_repair& state,
    const repair_inputs& inputs,
    const member::member_ref& one,
    instant now
) {
    const auto answered = state.last_answer.find(one);
    return answered != state.last_answer.end() &&
           now - answered->second > inputs.limits.guardian_silence_timeout;
}

bool is_recorded_inactive(
    const repair_inputs& inputs, const member::member_ref& one
) {
    const member::member_row* known = member::find(inputs.members, one.host);
    return known != nullptr &&
           known->record.self.incarnation >= one.incarnation &&
           !member::is_active(inputs.members, one);
}

bool is_unusable(
    const guardian_repair& state,
    const repair_inputs& inputs,
    const member::member_ref& one,
    instant now
) {
    return state.ended_incarnations.contains(one) ||
           is_recorded_inactive(inputs, one) ||
           is_silent(state, inputs, one, now);
}

guardian_list usable_guardians(
    const guardian_repair& state, const repair_inputs& inputs, instant now
) {
    guardian_list usable;
    for (const member::member_ref& one :
         inputs.row.confirmed.record.guardians) {
        if (!is_unusable(state, inputs, one, now)) {
            usable.push_back(one);
        }
    }
    return usable;
}

void avoid(guardian_repair& state, host_id host, instant until) {
    instant& known = state.avoid_until[host];
    known = std::max(known, until);
}

void avoid_unusable(
    guardian_repair& state, const repair_inputs& inputs, instant now
) {
    for (const member::member_ref& one :
         inputs.row.confirmed.record.guardians) {
        if (state.ended_incarnations.contains(one)) {
            avoid(state, one.host, now + restarted_host_avoidance);
        } else if (is_silent(state, inputs, one, now)) {
            avoid(state, one.host, now + inputs.limits.silent_host_avoidance);
        }
    }
}

guardian_list choose(
    const guardian_repair& state,
    const repair_inputs& inputs,
    const guardian_list& keep
) {
    const member::member_record& record = inputs.row.confirmed.record;
    member::guardian_criteria criteria{
        record.self.host, record.where, keep, {}};
    for (const auto& [host, until] : state.avoid_until) {
        criteria.avoid.insert(host);
    }
    return member::choose_guardians(criteria, inputs.members);
}

bool has_promised(
    const repair_inputs& inputs, const member::member_ref& one, instant now
) {
    const auto found = inputs.promises.promised_until.find(one);
    return found != inputs.promises.promised_until.end() &&
           found->second >= now + inputs.limits.lease / 2;
}

void advance_proposal(
    guardian_repair& state, const repair_inputs& inputs, instant now
) {
    const bool timed_out =
        now - state.proposal->since > inputs.limits.candidate_timeout;
    bool failed = false;
    for (const auto& one : new_guardians(state, inputs.row.confirmed.record)) {
        if (state.ended_incarnations.contains(one)) {
            avoid(state, one.host, now + restarted_host_avoidance);
            failed = true;
        } else if (timed_out && !has_promised(inputs, one, now)) {
            avoid(state, one.host, now + inputs.limits.silent_host_avoidance);
            failed = true;
        }
    }
    if (failed) {
        state.proposal.reset();
    }
}

/// Periodically proposes a list that covers more localities.
void review_localities(
    guardian_repair& state, const repair_inputs& inputs, instant now
) {
    if (now < state.next_review) {
        return;
    }
    state.next_review = now + inputs.limits.locality_review_interval;
    const member::member_record& record = inputs.row.confirmed.record;
    const guardian_list best = choose(state, inputs, {});
    const auto coverage = [&](const guardian_list& list) {
        return member::count_covered_localities(
            record.where, list, inputs.members
        );
    };
    if (!best.empty() && coverage(best) > coverage(record.guardians)) {
        state.proposal = guardian_proposal{best, now};
    }
}

void replace_unusable(
    guardian_repair& state,
    const repair_inputs& inputs,
    const guardian_list& usable,
    instant now,
    random_source& random
) {
    if (!state.replacement_start) {
        const bool urgent = usable.size() + 1 < member::guardian_count;
        const auto max_delay = static_cast<std::uint64_t>(
            inputs.limits.max_replacement_delay.count()
        );
        const duration wait = urgent ? duration{}
                                     : duration{static_cast<duration::rep>(
                                           random_below(random, max_delay + 1)
                                       )};
        state.replacement_start = now + wait;
    }
    if (now < *state.replacement_start) {
        return;
    }
    avoid_unusable(state, inputs, now);
    state.proposal = guardian_proposal{choose(state, inputs, usable), now};
}

void reset_silence_after_pause(guardian_repair& state, instant now) {
    const bool paused = state.last_advance != instant::min() &&
                        now - state.last_advance > own_pause_threshold;
    state.last_advance = now;
    if (!paused) {
        return;
    }
    for (auto& [one, answered] : state.last_answer) {
        answered = now;
    }
}

} // namespace

void advance(
    guardian_repair& state,
    const repair_inputs& inputs,
    instant now,
    random_source& random
) {
    reset_silence_after_pause(state, now);
    if (inputs.row.pending) {
        return;
    }
    std::erase_if(state.avoid_until, [&](const auto& one) {
        return one.second <= now;
    });
    if (state.proposal) {
        advance_proposal(state, inputs, now);
        return;
    }
    const member::member_record& record = inputs.row.confirmed.record;
    if (!member::is_guarded(record)) {
        const guardian_list found = choose(state, inputs, {});
        if (!found.empty()) {
            state.proposal = guardian_proposal{found, now};
        }
        return;
    }
    const guardian_list usable = usable_guardians(state, inputs, now);
    if (usable.size() == member::guardian_count) {
        state.replacement_start.reset();
        review_localities(state, inputs, now);
        return;
    }
    replace_unusable(state, inputs, usable, now, random);
}

const guardian_proposal* ready_proposal(
    const guardian_repair& state, const repair_inputs& inputs, instant now
) {
    if (!state.proposal) {
        return nullptr;
    }
    const auto added = new_guardians(state, inputs.row.confirmed.record);
    const bool promised = std::all_of(
        added.begin(),
        added.end(),
        [&](const member::member_ref& one) {
            return has_promised(inputs, one, now);
        }
    );
    return promised ? &*state.proposal : nullptr;
}

guardian_list new_guardians(
    const guardian_repair& state, const member::member_record& record
) {
    guardian_list added;
    if (!state.proposal) {
        return added;
    }
    for (const member::member_ref& one : state.proposal->guardians) {
        if (!contains(record.guardians, one)) {
            added.push_back(one);
        }
    }
    return added;
}

void reset_to_confirmed(
    guardian_repair& state, const member::member_record& record, instant now
) {
    state.proposal.reset();
    state.replacement_start.reset();
    std::map<member::member_ref, instant> answered;
    for (const member::member_ref& one : record.guardians) {
        const auto known = state.last_answer.find(one);
        answered[one] = known == state.last_answer.end() ? now : known->second;
    }
    state.last_answer = std::move(answered);
    std::erase_if(state.ended_incarnations, [&](const member::member_ref& one) {
        return !contains(record.guardians, one);
    });
}

} // namespace apricotstile::lease
