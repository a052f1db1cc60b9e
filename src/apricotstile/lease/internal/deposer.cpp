// Handles suspicions and collects the guardians' consents.

#include <apricotstile/lease/internal/deposer.hpp>

#include <apricotstile/lease/internal/deposer_table.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

bool table_answers(const deposer& state, const policy& limits, instant now) {
    return state.table_answered != instant::min() &&
           now - state.table_answered <= limits.table_confidence;
}

void forget_old_suspects(deposer& state, const policy& limits, instant now) {
    std::erase_if(state.suspects, [&](const auto& one) {
        return now - one.second.noticed > limits.suspicion_lifetime;
    });
}

bool may_ask(
    const suspect& one, const member::member_ref& guardian, instant now
) {
    if (one.consented.contains(guardian)) {
        return false;
    }
    const auto found = one.next_request.find(guardian);
    return found == one.next_request.end() || found->second <= now;
}

void ask_guardians(
    suspect& one, const policy& limits, instant now, actions& out
) {
    const member::member_record& record = one.row->record;
    for (const member::member_ref& guardian : record.guardians) {
        if (!may_ask(one, guardian, now)) {
            continue;
        }
        one.next_request[guardian] = now + limits.consent_retry;
        const consent_request asked{record.self, guardian, record.generation};
        out.emplace_back(send_message{guardian.host, asked});
    }
}

} // namespace

void take_suspicion(
    deposer& state, const suspicion& told, const policy& limits, instant now
) {
    if (count_unread(state) == 0) {
        state.next_read =
            std::max(state.next_read, now + limits.deposition_gathering);
    }
    state.suspects[told.holder].noticed = now;
}

void take_consent(deposer& state, const consent& given) {
    const auto found = state.suspects.find(given.holder);
    if (found == state.suspects.end() || !found->second.row) {
        return;
    }
    const member::member_record& record = found->second.row->record;
    const auto& listed = record.guardians;
    if (record.generation == given.generation &&
        std::count(listed.begin(), listed.end(), given.guardian) != 0) {
        found->second.consented.insert(given.guardian);
    }
}

void take_refusal(
    deposer& state,
    const consent_refusal& given,
    const policy& limits,
    instant now
) {
    const auto found = state.suspects.find(given.holder);
    if (found == state.suspects.end() || !found->second.row) {
        return;
    }
    const bool never = given.retry_after_ns < 0;
    const duration wait =
        never ? limits.suspicion_lifetime : duration{given.retry_after_ns};
    found->second.next_request[given.guardian] = now + wait;
}

void advance(
    deposer& state,
    bool watches,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
) {
    forget_old_suspects(state, limits, now);
    start_read(state, watches, operations, limits, now, out);
    if (table_answers(state, limits, now)) {
        for (auto& [holder, one] : state.suspects) {
            if (!one.unread) {
                ask_guardians(one, limits, now, out);
            }
        }
    }
    start_commit(state, operations, limits, now, out);
}

} // namespace apricotstile::lease
