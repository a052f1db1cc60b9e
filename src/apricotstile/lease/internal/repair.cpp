// Decides about changes of this member's guardian list.

#include <apricotstile/lease/internal/repair.hpp>

#include <apricotstile/member/guardian_choice.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

using guardians = std::vector<member::member_ref>;

/// How long a host whose daemon has restarted isn't chosen as a guardian.
constexpr duration avoid_restarted_host = 5s;

/// After a gap longer than this between its own steps, a member doesn't count
/// the time as silence of its guardians: the process itself was paused.
constexpr duration own_pause = 500ms;

bool contains(const guardians& list, const member::member_ref& one) {
    return std::find(list.begin(), list.end(), one) != list.end();
}

bool is_silent(
    const guardian_repair& state,
    const repair_view& view,
    const member::member_ref& one,
    instant now
) {
    const auto answered = state.last_answer.find(one);
    return answered != state.last_answer.end() &&
           now - answered->second > view.limits.silent_guardian;
}

bool is_recorded_unfit(const repair_view& view, const member::member_ref& one) {
    const member::member_row* known = member::find(view.members, one.host);
    return known != nullptr &&
           known->record.self.incarnation >= one.incarnation &&
           !member::is_active(view.members, one);
}

bool is_unfit(
    const guardian_repair& state,
    const repair_view& view,
    const member::member_ref& one,
    instant now
) {
    return state.gone.contains(one) || is_recorded_unfit(view, one) ||
           is_silent(state, view, one, now);
}

guardians fit_guardians(
    const guardian_repair& state, const repair_view& view, instant now
) {
    guardians fit;
    for (const member::member_ref& one : view.row.confirmed.record.guardians) {
        if (!is_unfit(state, view, one, now)) {
            fit.push_back(one);
        }
    }
    return fit;
}

void avoid(guardian_repair& state, host_id host, instant until) {
    instant& known = state.avoid_until[host];
    known = std::max(known, until);
}

void avoid_unfit(guardian_repair& state, const repair_view& view, instant now) {
    for (const member::member_ref& one : view.row.confirmed.record.guardians) {
        if (state.gone.contains(one)) {
            avoid(state, one.host, now + avoid_restarted_host);
        } else if (is_silent(state, view, one, now)) {
            avoid(state, one.host, now + view.limits.avoid_silent_host);
        }
    }
}

guardians choose(
    const guardian_repair& state, const repair_view& view, const guardians& keep
) {
    const member::member_record& record = view.row.confirmed.record;
    member::guardian_wish wish{record.self.host, record.where, keep, {}};
    for (const auto& [host, until] : state.avoid_until) {
        wish.avoid.insert(host);
    }
    return member::choose_guardians(wish, view.members);
}

bool has_promised(
    const repair_view& view, const member::member_ref& one, instant now
) {
    const auto found = view.promises.promised_until.find(one);
    return found != view.promises.promised_until.end() &&
           found->second >= now + view.limits.lease / 2;
}

void advance_trial(
    guardian_repair& state, const repair_view& view, instant now
) {
    const bool impatient =
        now - state.trial->since > view.limits.candidate_patience;
    bool failed = false;
    for (const auto& one : newcomers(state, view.row.confirmed.record)) {
        if (state.gone.contains(one)) {
            avoid(state, one.host, now + avoid_restarted_host);
            failed = true;
        } else if (impatient && !has_promised(view, one, now)) {
            avoid(state, one.host, now + view.limits.avoid_silent_host);
            failed = true;
        }
    }
    if (failed) {
        state.trial.reset();
    }
}

/// Periodically proposes a list that covers more localities.
void review_places(
    guardian_repair& state, const repair_view& view, instant now
) {
    if (now < state.next_review) {
        return;
    }
    state.next_review = now + view.limits.placement_review;
    const member::member_record& record = view.row.confirmed.record;
    const guardians best = choose(state, view, {});
    const auto filled = [&](const guardians& list) {
        return member::places_filled(record.where, list, view.members);
    };
    if (!best.empty() && filled(best) > filled(record.guardians)) {
        state.trial = guardian_trial{best, now};
    }
}

void replace_unfit(
    guardian_repair& state,
    const repair_view& view,
    const guardians& fit,
    instant now,
    random_source& random
) {
    if (!state.start_at) {
        const bool urgent = fit.size() + 1 < member::guardian_count;
        const auto spread =
            static_cast<std::uint64_t>(view.limits.replacement_spread.count());
        const duration wait = urgent ? duration{}
                                     : duration{static_cast<duration::rep>(
                                           random_below(random, spread + 1)
                                       )};
        state.start_at = now + wait;
    }
    if (now < *state.start_at) {
        return;
    }
    avoid_unfit(state, view, now);
    state.trial = guardian_trial{choose(state, view, fit), now};
}

void excuse_after_pause(guardian_repair& state, instant now) {
    const bool paused = state.last_advance != instant::min() &&
                        now - state.last_advance > own_pause;
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
    const repair_view& view,
    instant now,
    random_source& random
) {
    excuse_after_pause(state, now);
    if (view.row.pending) {
        return;
    }
    std::erase_if(state.avoid_until, [&](const auto& one) {
        return one.second <= now;
    });
    if (state.trial) {
        advance_trial(state, view, now);
        return;
    }
    const member::member_record& record = view.row.confirmed.record;
    if (!member::is_guarded(record)) {
        const guardians found = choose(state, view, {});
        if (!found.empty()) {
            state.trial = guardian_trial{found, now};
        }
        return;
    }
    const guardians fit = fit_guardians(state, view, now);
    if (fit.size() == member::guardian_count) {
        state.start_at.reset();
        review_places(state, view, now);
        return;
    }
    replace_unfit(state, view, fit, now, random);
}

const guardian_trial* ready_trial(
    const guardian_repair& state, const repair_view& view, instant now
) {
    if (!state.trial) {
        return nullptr;
    }
    const auto asked = newcomers(state, view.row.confirmed.record);
    const bool promised = std::all_of(
        asked.begin(),
        asked.end(),
        [&](const member::member_ref& one) {
            return has_promised(view, one, now);
        }
    );
    return promised ? &*state.trial : nullptr;
}

guardians
newcomers(const guardian_repair& state, const member::member_record& record) {
    guardians asked;
    if (!state.trial) {
        return asked;
    }
    for (const member::member_ref& one : state.trial->guardians) {
        if (!contains(record.guardians, one)) {
            asked.push_back(one);
        }
    }
    return asked;
}

void take_confirmed(
    guardian_repair& state, const member::member_record& record, instant now
) {
    state.trial.reset();
    state.start_at.reset();
    std::map<member::member_ref, instant> answered;
    for (const member::member_ref& one : record.guardians) {
        const auto known = state.last_answer.find(one);
        answered[one] = known == state.last_answer.end() ? now : known->second;
    }
    state.last_answer = std::move(answered);
    std::erase_if(state.gone, [&](const member::member_ref& one) {
        return !contains(record.guardians, one);
    });
}

} // namespace apricotstile::lease
