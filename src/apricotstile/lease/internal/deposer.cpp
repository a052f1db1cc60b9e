// Handles suspicions and collects the guardians' consents.

#include <apricotstile/lease/internal/deposer.hpp>

#include <apricotstile/lease/internal/deposer_table.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

bool table_answered_recently(
    const deposition_state& state, const policy& limits, instant now
) {
    return state.last_table_answer != instant::min() &&
           now - state.last_table_answer <= limits.max_table_answer_age;
}

void drop_expired_suspects(
    deposition_state& state, const policy& limits, instant now
) {
    std::erase_if(state.suspects, [&](const auto& one) {
        return now - one.second.last_reported > limits.suspicion_lifetime;
    });
}

bool may_request_consent(
    const suspect& one, const member::member_ref& guardian, instant now
) {
    if (one.consented.contains(guardian)) {
        return false;
    }
    const auto found = one.next_request.find(guardian);
    return found == one.next_request.end() || found->second <= now;
}

void request_consents(
    suspect& one, const policy& limits, instant now, actions& out
) {
    const member::member_record& record = one.row->record;
    for (const member::member_ref& guardian : record.guardians) {
        if (!may_request_consent(one, guardian, now)) {
            continue;
        }
        one.next_request[guardian] = now + limits.consent_retry_interval;
        const consent_request request{record.self, guardian, record.generation};
        out.emplace_back(send_message{guardian.host, request});
    }
}

} // namespace

void handle_suspicion(
    deposition_state& state,
    const suspicion& report,
    const policy& limits,
    instant now
) {
    if (count_unread(state) == 0) {
        state.next_read =
            std::max(state.next_read, now + limits.deposition_batch_delay);
    }
    state.suspects[report.holder].last_reported = now;
}

void handle_consent(deposition_state& state, const consent& received) {
    const auto found = state.suspects.find(received.holder);
    if (found == state.suspects.end() || !found->second.row) {
        return;
    }
    const member::member_record& record = found->second.row->record;
    const auto& listed = record.guardians;
    if (record.generation == received.generation &&
        std::count(listed.begin(), listed.end(), received.guardian) != 0) {
        found->second.consented.insert(received.guardian);
    }
}

void handle_consent_refusal(
    deposition_state& state,
    const consent_refusal& received,
    const policy& limits,
    instant now
) {
    const auto found = state.suspects.find(received.holder);
    if (found == state.suspects.end() || !found->second.row) {
        return;
    }
    const bool never = received.retry_after_ns < 0;
    const duration wait =
        never ? limits.suspicion_lifetime : duration{received.retry_after_ns};
    found->second.next_request[received.guardian] = now + wait;
}

void advance(
    deposition_state& state,
    bool watch_table,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
) {
    drop_expired_suspects(state, limits, now);
    start_read(state, watch_table, operations, limits, now, out);
    if (table_answered_recently(state, limits, now)) {
        for (auto& [holder, one] : state.suspects) {
            if (!one.must_read) {
                request_consents(one, limits, now, out);
            }
        }
    }
    start_commit(state, operations, limits, now, out);
}

} // namespace apricotstile::lease
