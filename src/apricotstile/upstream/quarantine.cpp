// Counts crashes per request and merges the counts of all daemons.

#include <apricotstile/upstream/quarantine.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

crash_count total_crashes(const crash_record& record) {
    crash_count total;
    for (const auto& [member, count] : record.crashes_by_member) {
        total.crashes += count.crashes;
        total.alone += count.alone;
    }
    return total;
}

bool has_expired(
    const quarantine& state, const crash_record& record, instant now
) {
    return now - record.last_crash >= state.policy.expiry;
}

quarantine_action
action_for(const quarantine& state, const crash_record& record) {
    const crash_count total = total_crashes(record);
    if (state.policy.faults.refuses_all_in_flight && total.crashes > 0) {
        return quarantine_action::refuse;
    }
    if (total.crashes >= state.policy.crashes_to_refuse && total.alone > 0) {
        return quarantine_action::refuse;
    }
    if (total.crashes >= state.policy.crashes_to_suspect &&
        !state.policy.faults.runs_suspects_together) {
        return quarantine_action::run_alone;
    }
    return quarantine_action::run;
}

crash_report
make_report(fingerprint id, const crash_record& record, instant now) {
    return {
        id,
        record.label,
        record.generation,
        record.crashes_by_member,
        now - record.last_crash};
}

void evict_fewest_crashes(quarantine& state) {
    const auto fewest = std::min_element(
        state.crash_records.begin(),
        state.crash_records.end(),
        [](const auto& left, const auto& right) {
            const std::uint32_t left_crashes =
                total_crashes(left.second).crashes;
            const std::uint32_t right_crashes =
                total_crashes(right.second).crashes;
            return std::pair{left_crashes, left.second.last_crash} <
                   std::pair{right_crashes, right.second.last_crash};
        }
    );
    state.crash_records.erase(fewest);
}

void enforce_max_entries(quarantine& state) {
    while (state.crash_records.size() > state.policy.max_entries) {
        evict_fewest_crashes(state);
    }
}

/// Resets the counts in a new generation, which replaces the counts of earlier
/// generations at the other daemons.
void reset_counts(crash_record& record) {
    ++record.generation;
    record.crashes_by_member.clear();
}

crash_record& update_record(
    quarantine& state, const in_flight_request& request, instant now
) {
    crash_record& record = state.crash_records[request.id];
    if (!record.crashes_by_member.empty() && has_expired(state, record, now)) {
        reset_counts(record);
    }
    record.label = request.label;
    record.last_crash = now;
    return record;
}

std::vector<crash_report>
reset_and_report(quarantine& state, fingerprint id, instant now) {
    const auto found = state.crash_records.find(id);
    if (found == state.crash_records.end() ||
        found->second.crashes_by_member.empty()) {
        return {};
    }
    reset_counts(found->second);
    return {make_report(id, found->second, now)};
}

} // namespace

std::string_view name_of(quarantine_action action) {
    switch (action) {
    case quarantine_action::run:
        return "run";
    case quarantine_action::run_alone:
        return "run_alone";
    case quarantine_action::refuse:
        return "refuse";
    }
    return "unknown";
}

quarantine_decision decide(quarantine& state, fingerprint id, instant now) {
    const auto found = state.crash_records.find(id);
    if (found == state.crash_records.end() ||
        has_expired(state, found->second, now)) {
        return {};
    }
    const crash_record& record = found->second;
    quarantine_decision result{action_for(state, record), duration{0}};
    if (result.action == quarantine_action::refuse) {
        ++state.refused;
        result.retry_after = record.last_crash + state.policy.expiry - now;
    }
    return result;
}

std::vector<crash_report> upstream_crashed(
    quarantine& state,
    const std::vector<in_flight_request>& in_flight,
    instant now
) {
    ++state.crashes;
    std::vector<fingerprint> counted;
    for (const in_flight_request& request : in_flight) {
        // Two copies of the same request count once.
        if (std::find(counted.begin(), counted.end(), request.id) ==
            counted.end()) {
            counted.push_back(request.id);
            ++update_record(state, request, now)
                  .crashes_by_member[state.self]
                  .crashes;
        }
    }
    if (counted.size() == 1) {
        ++state.crash_records.at(counted.front())
              .crashes_by_member[state.self]
              .alone;
    }
    std::vector<crash_report> reports;
    reports.reserve(counted.size());
    for (const fingerprint id : counted) {
        reports.push_back(make_report(id, state.crash_records.at(id), now));
    }
    enforce_max_entries(state);
    return reports;
}

std::vector<crash_report>
completed(quarantine& state, fingerprint id, instant now) {
    return reset_and_report(state, id, now);
}

void merge(quarantine& state, const crash_report& report, instant now) {
    if (state.policy.faults.ignores_reports ||
        report.since_last_crash >= state.policy.expiry) {
        return;
    }
    crash_record& record = state.crash_records[report.id];
    record.label = report.label;
    record.last_crash =
        std::max(record.last_crash, now - report.since_last_crash);
    if (report.generation > record.generation) {
        record.generation = report.generation;
        record.crashes_by_member = report.crashes_by_member;
    } else if (report.generation == record.generation) {
        for (const auto& [member, reported] : report.crashes_by_member) {
            crash_count& known = record.crashes_by_member[member];
            known.crashes = std::max(known.crashes, reported.crashes);
            known.alone = std::max(known.alone, reported.alone);
        }
    }
    enforce_max_entries(state);
}

std::vector<crash_report> report_all(const quarantine& state, instant now) {
    std::vector<crash_report> reports;
    reports.reserve(state.crash_records.size());
    for (const auto& [id, record] : state.crash_records) {
        if (!has_expired(state, record, now)) {
            reports.push_back(make_report(id, record, now));
        }
    }
    return reports;
}

std::vector<crash_report>
clear(quarantine& state, fingerprint id, instant now) {
    return reset_and_report(state, id, now);
}

void forget_expired(quarantine& state, instant now) {
    std::erase_if(state.crash_records, [&](const auto& one) {
        return has_expired(state, one.second, now);
    });
}

quarantine_entry
describe(const quarantine& state, fingerprint id, instant now) {
    const auto found = state.crash_records.find(id);
    if (found == state.crash_records.end() ||
        has_expired(state, found->second, now)) {
        return {id};
    }
    const crash_record& record = found->second;
    const crash_count total = total_crashes(record);
    return {
        id,
        record.label,
        action_for(state, record),
        total.crashes,
        total.alone,
        record.last_crash + state.policy.expiry - now};
}

std::vector<quarantine_entry> describe(const quarantine& state, instant now) {
    std::vector<quarantine_entry> lines;
    for (const auto& [id, record] : state.crash_records) {
        const quarantine_entry line = describe(state, id, now);
        if (line.crashes > 0) {
            lines.push_back(line);
        }
    }
    std::sort(
        lines.begin(),
        lines.end(),
        [](const quarantine_entry& left, const quarantine_entry& right) {
            return std::pair{right.crashes, left.id.value} <
                   std::pair{left.crashes, right.id.value};
        }
    );
    return lines;
}

} // namespace apricotstile::upstream
