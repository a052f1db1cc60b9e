// State machine of an apply.

#include <apricotstile/plan/apply.hpp>

#include <algorithm>

namespace apricotstile::plan {

namespace {

using apply_actions = std::vector<apply_action>;

platform::operation_id begin_call(apply_state& state, instant now) {
    state.last_operation = next(state.last_operation);
    state.in_flight = state.last_operation;
    state.in_flight_since = now;
    state.retry_at.reset();
    return state.last_operation;
}

apply_actions
read(apply_state& state, apply_phase phase, std::string prefix, instant now) {
    state.phase = phase;
    return {platform::read_rows{begin_call(state, now), std::move(prefix)}};
}

apply_actions
get(apply_state& state,
    apply_phase phase,
    const platform::object_name& name,
    instant now) {
    state.phase = phase;
    return {platform::get_object{begin_call(state, now), name}};
}

apply_actions finish(
    apply_state& state,
    apply_status status,
    plan_version version,
    std::optional<plan_difference> changed = std::nullopt
) {
    state.phase = apply_phase::finished;
    state.in_flight.reset();
    state.retry_at.reset();
    return {
        apply_report{state.request.id, status, version, std::move(changed)}};
}

plan_version target_version(const apply_state& state) {
    return next(state.request.based_on);
}

std::optional<version_record>
find_record(const std::vector<platform::row>& rows, const std::string& key) {
    for (const platform::row& row : rows) {
        if (row.key.value == key) {
            return decode<version_record>(row.value);
        }
    }
    return std::nullopt;
}

apply_actions put_body(apply_state& state, instant now) {
    state.phase = apply_phase::putting_body;
    state.body = encode(version_body{
        target_version(state), state.request.id, state.request.lists});
    return {platform::put_object{
        begin_call(state, now), content_name(state.body), state.body}};
}

apply_actions commit(apply_state& state, instant now) {
    state.phase = apply_phase::committing;
    const plan_version version = target_version(state);
    const std::string record = encode(version_record{
        version, state.request.id, content_name(state.body)});
    platform::transaction work;
    if (!state.policy.fault_unconditional_commit) {
        work.conditions.push_back({{head_row_key}, state.head_row});
    }
    work.mutations.push_back({{head_row_key}, record});
    work.mutations.push_back({{version_row_key(version)}, record});
    if (version.value > state.policy.kept_versions) {
        const plan_version expired{version.value - state.policy.kept_versions};
        work.mutations.push_back({{version_row_key(expired)}, std::nullopt});
    }
    state.commit_sent = now;
    return {
        platform::submit_transaction{begin_call(state, now), std::move(work)}};
}

/// Starts or retries the platform call of the current phase.
apply_actions run_phase(apply_state& state, instant now) {
    switch (state.phase) {
    case apply_phase::reading_head:
        return read(state, state.phase, head_row_key, now);
    case apply_phase::putting_body:
        return put_body(state, now);
    case apply_phase::committing:
        return commit(state, now);
    case apply_phase::resolving_commit:
    case apply_phase::reading_successor:
        return read(
            state, state.phase, version_row_key(target_version(state)), now
        );
    default:
        return {};
    }
}

apply_actions start_phase(apply_state& state, apply_phase phase, instant now) {
    state.phase = phase;
    return run_phase(state, now);
}

void retry_later(apply_state& state, instant now) {
    state.retry_at = now + state.policy.retry_interval;
}

/// Reads the base and the head, so that the report of the lost race can say
/// what the others changed.
apply_actions start_lost_race_report(apply_state& state, instant now) {
    if (state.request.based_on == plan_version{}) {
        return get(state, apply_phase::getting_head_body, state.head.body, now);
    }
    return read(
        state,
        apply_phase::reading_base_record,
        version_row_key(state.request.based_on),
        now
    );
}

apply_actions finish_lost_race(apply_state& state) {
    return finish(state, apply_status::lost_race, state.head.version);
}

apply_actions on_head(
    apply_state& state, const std::vector<platform::row>& rows, instant now
) {
    state.head_row = {};
    state.head = {};
    for (const platform::row& row : rows) {
        if (row.key.value == head_row_key) {
            state.head_row = row.version;
            state.head = decode<version_record>(row.value);
        }
    }
    if (state.head.version == state.request.based_on) {
        return put_body(state, now);
    }
    if (state.head.version < state.request.based_on) {
        return finish_lost_race(state);
    }
    return start_phase(state, apply_phase::reading_successor, now);
}

/// The successor of the base was committed by this apply or by another one.
apply_actions on_successor(
    apply_state& state, const std::vector<platform::row>& rows, instant now
) {
    const auto successor =
        find_record(rows, version_row_key(target_version(state)));
    if (successor && successor->applied_by == state.request.id) {
        return finish(state, apply_status::applied, successor->version);
    }
    return start_lost_race_report(state, now);
}

apply_actions on_commit_resolution(
    apply_state& state,
    const std::vector<platform::row>& rows,
    instant read_began,
    instant now
) {
    if (find_record(rows, version_row_key(target_version(state)))) {
        state.commit_outcome_unknown = false;
        return start_phase(state, apply_phase::reading_head, now);
    }
    const instant commit_deadline =
        state.commit_sent + state.policy.operation_deadline;
    if (read_began > commit_deadline) {
        state.commit_outcome_unknown = false;
        return start_phase(state, apply_phase::reading_head, now);
    }
    retry_later(state, now);
    return {};
}

apply_actions on_base_record(
    apply_state& state, const std::vector<platform::row>& rows, instant now
) {
    const auto base =
        find_record(rows, version_row_key(state.request.based_on));
    if (!base) {
        return finish_lost_race(state);
    }
    return get(state, apply_phase::getting_base_body, base->body, now);
}

apply_actions
on_event(apply_state& state, const platform::rows_read& event, instant now) {
    if (!event.result.answered) {
        if (state.phase == apply_phase::reading_base_record) {
            return finish_lost_race(state);
        }
        retry_later(state, now);
        return {};
    }
    const std::vector<platform::row>& rows = event.result.rows;
    switch (state.phase) {
    case apply_phase::reading_head:
        return on_head(state, rows, now);
    case apply_phase::reading_successor:
        return on_successor(state, rows, now);
    case apply_phase::resolving_commit:
        return on_commit_resolution(state, rows, state.in_flight_since, now);
    case apply_phase::reading_base_record:
        return on_base_record(state, rows, now);
    default:
        return {};
    }
}

apply_actions
on_event(apply_state& state, const platform::object_put& event, instant now) {
    if (!event.stored) {
        // Retrying is idempotent, since the object is named by its content.
        retry_later(state, now);
        return {};
    }
    return commit(state, now);
}

apply_actions
on_event(apply_state& state, const platform::object_got& event, instant now) {
    if (!event.found) {
        return finish_lost_race(state);
    }
    const version_body body = decode<version_body>(event.body);
    if (state.phase == apply_phase::getting_base_body) {
        state.base_lists = body.lists;
        return get(state, apply_phase::getting_head_body, state.head.body, now);
    }
    return finish(
        state,
        apply_status::lost_race,
        state.head.version,
        difference_between(state.base_lists, body.lists)
    );
}

apply_actions on_unknown_commit(apply_state& state, instant now) {
    if (state.policy.fault_retries_unresolved_commit) {
        state.request.based_on = target_version(state);
        return start_phase(state, apply_phase::reading_head, now);
    }
    state.commit_outcome_unknown = true;
    return start_phase(state, apply_phase::resolving_commit, now);
}

apply_actions on_event(
    apply_state& state, const platform::transaction_done& event, instant now
) {
    switch (event.result.status) {
    case platform::commit_status::committed:
        return finish(state, apply_status::applied, target_version(state));
    case platform::commit_status::conflict:
        return start_phase(state, apply_phase::reading_head, now);
    case platform::commit_status::unavailable:
        retry_later(state, now);
        return {};
    case platform::commit_status::unknown:
        return on_unknown_commit(state, now);
    }
    return {};
}

apply_actions on_overdue_call(apply_state& state, instant now) {
    state.in_flight.reset();
    if (state.phase == apply_phase::committing) {
        return on_unknown_commit(state, now);
    }
    const bool reading_changes =
        state.phase == apply_phase::reading_base_record ||
        state.phase == apply_phase::getting_base_body ||
        state.phase == apply_phase::getting_head_body;
    if (reading_changes) {
        return finish_lost_race(state);
    }
    retry_later(state, now);
    return {};
}

apply_actions on_tick(apply_state& state, instant now) {
    const bool overdue = state.in_flight && now - state.in_flight_since >
                                                state.policy.operation_deadline;
    if (overdue) {
        return on_overdue_call(state, now);
    }
    const bool committing =
        state.phase == apply_phase::committing && state.in_flight.has_value();
    if (now - state.started > state.policy.give_up_after && !committing) {
        const apply_status status = state.commit_outcome_unknown
                                        ? apply_status::unsettled
                                        : apply_status::not_applied;
        return finish(state, status, state.head.version);
    }
    if (state.retry_at && *state.retry_at <= now) {
        return run_phase(state, now);
    }
    return {};
}

} // namespace

std::string_view to_string(apply_status value) {
    switch (value) {
    case apply_status::applied:
        return "applied";
    case apply_status::lost_race:
        return "lost_race";
    case apply_status::not_applied:
        return "not_applied";
    case apply_status::unsettled:
        return "unsettled";
    }
    return "invalid";
}

std::vector<apply_action>
step(apply_state& state, const apply_event& event, instant now) {
    if (const auto* request = std::get_if<apply_request>(&event)) {
        if (state.phase != apply_phase::idle) {
            return {};
        }
        state.request = *request;
        state.started = now;
        return start_phase(state, apply_phase::reading_head, now);
    }
    if (state.phase == apply_phase::finished) {
        return {};
    }
    if (std::holds_alternative<apply_tick>(event)) {
        return on_tick(state, now);
    }
    return std::visit(
        [&](const auto& one) -> apply_actions {
            if constexpr (requires {
                              one.id.value;
                              on_event(state, one, now);
                          }) {
                if (state.in_flight != one.id) {
                    return {};
                }
                state.in_flight.reset();
                return on_event(state, one, now);
            } else {
                return {};
            }
        },
        event
    );
}

} // namespace apricotstile::plan
