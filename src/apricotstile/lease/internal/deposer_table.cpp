// Reads members' rows and submits the transaction that deposes.

#include <apricotstile/lease/internal/deposer_table.hpp>

#include <apricotstile/member/guardian_choice.hpp>
#include <apricotstile/member/member_set.hpp>
#include <apricotstile/member/own_row.hpp>

#include <algorithm>

namespace apricotstile::lease {

namespace {

/// The narrowest prefix that covers every unread suspect.
std::string prefix_to_read(const deposition_state& state, bool watch_is_due) {
    if (watch_is_due || count_unread(state) != 1) {
        return member::member_rows_prefix;
    }
    const auto unread = std::find_if(
        state.suspects.begin(),
        state.suspects.end(),
        [](const auto& one) {
            return one.second.must_read;
        }
    );
    return member::member_row_key(unread->first.host);
}

void update_suspect(deposition_state& state, const member::member_row& seen) {
    const auto found = state.suspects.find(seen.record.self);
    if (found == state.suspects.end()) {
        return;
    }
    suspect& one = found->second;
    const bool same_list =
        one.row && one.row->record.generation == seen.record.generation;
    if (!same_list) {
        one.consented.clear();
        one.next_request.clear();
    }
    one.row = seen;
    one.must_read = false;
}

void watch_row(
    deposition_state& state, const member::member_row& seen, instant now
) {
    const member::member_ref& holder = seen.record.self;
    if (!owns_slices(seen.record.state) || member::is_guarded(seen.record)) {
        state.watched.erase(holder);
        return;
    }
    watched_row& known = state.watched[holder];
    if (known.row.version != seen.version) {
        known = {seen, now, now};
    }
    known.last_seen = now;
}

/// Drops suspects that own nothing any more, renew in the table or have a newer
/// incarnation.
void drop_obsolete_suspects(
    deposition_state& state, const std::vector<member::member_row>& rows
) {
    for (const member::member_row& seen : rows) {
        const member::member_record& record = seen.record;
        const bool stays =
            owns_slices(record.state) && member::is_guarded(record);
        std::erase_if(state.suspects, [&](const auto& one) {
            return one.first.host == record.self.host &&
                   (one.first != record.self || !stays);
        });
    }
}

bool is_expired(const watched_row& known, const policy& limits) {
    return known.last_seen - known.first_seen >= guardian_lease_length(limits);
}

bool has_enough_consents(const suspect& one, const policy& limits) {
    return !one.must_read && one.consented.size() >= limits.required_consents;
}

std::vector<member::member_row>
rows_to_depose(const deposition_state& state, const policy& limits) {
    std::vector<member::member_row> ready;
    for (const auto& [holder, one] : state.suspects) {
        if (has_enough_consents(one, limits)) {
            ready.push_back(*one.row);
        }
    }
    for (const auto& [holder, known] : state.watched) {
        if (is_expired(known, limits)) {
            ready.push_back(known.row);
        }
    }
    if (ready.size() > state.batch_limit) {
        ready.resize(state.batch_limit);
    }
    return ready;
}

bool all_suspects_are_ready(
    const deposition_state& state, const policy& limits
) {
    return std::all_of(
        state.suspects.begin(),
        state.suspects.end(),
        [&](const auto& one) {
            return has_enough_consents(one.second, limits);
        }
    );
}

/// Whether to wait for further depositions before submitting the batch.
bool is_collecting_batch(
    deposition_state& state, const policy& limits, instant now
) {
    if (!state.ready_since) {
        state.ready_since = now;
    }
    return !all_suspects_are_ready(state, limits) &&
           now < *state.ready_since + limits.deposition_batch_delay;
}

/// Marks the rows of a transaction that failed or has an unknown outcome for
/// another read.
void reread_committing(deposition_state& state) {
    for (const member::member_row& row : state.committing) {
        const auto found = state.suspects.find(row.record.self);
        if (found != state.suspects.end()) {
            found->second.must_read = true;
        }
        state.watched.erase(row.record.self);
    }
}

void add_deposition(
    platform::transaction& transaction, const member::member_row& row
) {
    member::member_record deposed = row.record;
    deposed.state = member::member_state::deposed;
    platform::transaction one = member::conditional_write(deposed, row.version);
    transaction.conditions.push_back(std::move(one.conditions.front()));
    transaction.mutations.push_back(std::move(one.mutations.front()));
}

std::vector<member::member_row> apply_committed(
    deposition_state& state, const platform::commit_result& result, actions& out
) {
    std::vector<member::member_row> written;
    members_deposed deposed_members;
    for (std::size_t i = 0; i < state.committing.size(); ++i) {
        member::member_row row = state.committing[i];
        row.version = result.versions.at(i);
        row.record.state = member::member_state::deposed;
        state.suspects.erase(row.record.self);
        state.watched.erase(row.record.self);
        deposed_members.members.push_back(row.record.self);
        written.push_back(std::move(row));
    }
    out.emplace_back(std::move(deposed_members));
    return written;
}

} // namespace

std::size_t count_unread(const deposition_state& state) {
    return static_cast<std::size_t>(std::count_if(
        state.suspects.begin(),
        state.suspects.end(),
        [](const auto& one) {
            return one.second.must_read;
        }
    ));
}

void start_read(
    deposition_state& state,
    bool watch_table,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
) {
    const bool watch_is_due = watch_table && now >= state.next_watch;
    const bool read_is_due = count_unread(state) != 0 && now >= state.next_read;
    const bool idle = state.read == platform::operation_id{};
    if (!idle || (!watch_is_due && !read_is_due)) {
        return;
    }
    state.read = next_operation(operations);
    state.next_watch = now + limits.table_watch_interval;
    out.emplace_back(platform::read_rows{
        state.read, prefix_to_read(state, watch_is_due)});
}

std::vector<member::member_row> handle_rows(
    deposition_state& state,
    const platform::rows_read& answer,
    const policy& limits,
    instant now
) {
    if (answer.id != state.read) {
        return {};
    }
    state.read = {};
    if (!answer.result.answered) {
        state.next_read = now + limits.initial_backoff;
        // Members may have been unable to renew too, so each is watched for a
        // full lease again.
        state.watched.clear();
        return {};
    }
    state.last_table_answer = now;
    state.next_read = now + limits.consent_retry_interval;
    std::vector<member::member_row> rows =
        member::decode_member_rows(answer.result.rows);
    drop_obsolete_suspects(state, rows);
    for (const member::member_row& row : rows) {
        update_suspect(state, row);
        watch_row(state, row, now);
    }
    return rows;
}

void start_commit(
    deposition_state& state,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
) {
    if (state.commit != platform::operation_id{} || now < state.next_commit) {
        return;
    }
    std::vector<member::member_row> ready = rows_to_depose(state, limits);
    if (ready.empty()) {
        state.ready_since.reset();
        return;
    }
    if (is_collecting_batch(state, limits, now)) {
        return;
    }
    state.ready_since.reset();
    platform::transaction transaction;
    for (const member::member_row& row : ready) {
        add_deposition(transaction, row);
    }
    state.commit = next_operation(operations);
    state.committing = std::move(ready);
    out.emplace_back(platform::submit_transaction{
        state.commit, std::move(transaction)});
}

std::vector<member::member_row> handle_commit(
    deposition_state& state,
    const platform::transaction_done& done,
    const policy& limits,
    instant now,
    actions& out
) {
    if (done.id != state.commit) {
        return {};
    }
    state.commit = {};
    if (done.result.status == platform::commit_status::committed) {
        state.batch_limit = max_deposition_batch;
        state.last_table_answer = now;
        auto written = apply_committed(state, done.result, out);
        state.committing.clear();
        return written;
    }
    reread_committing(state);
    state.committing.clear();
    if (done.result.status == platform::commit_status::conflict) {
        state.batch_limit = std::max<std::size_t>(1, state.batch_limit / 2);
        return {};
    }
    state.next_commit = now + limits.initial_backoff;
    state.next_read = now + limits.initial_backoff;
    return {};
}

} // namespace apricotstile::lease
