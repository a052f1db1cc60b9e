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
    const bool any_sender =
        record.senders.empty() ||
        record.senders.size() >= state.policy.senders_to_refuse;
    if (total.crashes >= state.policy.crashes_to_refuse && total.alone > 0 &&
        any_sender) {
        return quarantine_action::refuse;
    }
    if (total.crashes >= state.policy.crashes_to_suspect &&
        !state.policy.faults.runs_suspects_together) {
        return quarantine_action::run_alone;
    }
    return quarantine_action::run;
}

/// What the counts of one fingerprint say.
quarantine_decision
decision_for(const quarantine& state, fingerprint id, instant now) {
    const auto found = state.crash_records.find(id);
    if (found == state.crash_records.end() ||
        has_expired(state, found->second, now)) {
        return {};
    }
    const crash_record& record = found->second;
    quarantine_decision result{action_for(state, record), duration{0}};
    if (result.action == quarantine_action::refuse) {
        result.retry_after = record.last_crash + state.policy.expiry - now;
    }
    return result;
}

crash_report
make_report(fingerprint id, const crash_record& record, instant now) {
    return {
        id,
        record.label,
        record.generation,
        record.senders,
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
    record.senders.clear();
    record.crashes_by_member.clear();
}

/// A fingerprint to count a crash against.
struct counted_fingerprint {
    request_label label;
    std::set<fingerprint> senders;
    bool running{false};
};

/// Copies of the same request count once.
using counted_fingerprints = std::map<fingerprint, counted_fingerprint>;

void add_sender(
    counted_fingerprints& counted, const in_flight_request& request
) {
    counted_fingerprint& one = counted[request.id.from_sender];
    one.label = request.label;
    one.running = one.running || request.running;
}

void add_content(
    counted_fingerprints& counted, const in_flight_request& request
) {
    counted_fingerprint& one = counted[request.id.content];
    one.label = request.label;
    one.running = one.running || request.running;
    one.senders.insert(request.id.from_sender);
}

/// Counts one crash against each fingerprint and returns their reports.
std::vector<crash_report> count_crash(
    quarantine& state, const counted_fingerprints& counted, instant now
) {
    const auto running =
        std::count_if(counted.begin(), counted.end(), [&](const auto& one) {
            return one.second.running || state.policy.faults.counts_given_up;
        });
    std::vector<crash_report> reports;
    reports.reserve(counted.size());
    for (const auto& [id, one] : counted) {
        crash_record& record = state.crash_records[id];
        if (!record.crashes_by_member.empty() &&
            has_expired(state, record, now)) {
            reset_counts(record);
        }
        record.label = one.label;
        record.senders.insert(one.senders.begin(), one.senders.end());
        record.last_crash = now;
        crash_count& own = record.crashes_by_member[state.self];
        ++own.crashes;
        own.alone += one.running && running == 1 ? 1 : 0;
        reports.push_back(make_report(id, record, now));
    }
    return reports;
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

quarantine_decision
decide(quarantine& state, const request_identity& id, instant now) {
    quarantine_decision result = decision_for(state, id.from_sender, now);
    const quarantine_decision by_content = decision_for(state, id.content, now);
    result.action = std::max(result.action, by_content.action);
    result.retry_after = std::max(result.retry_after, by_content.retry_after);
    if (result.action == quarantine_action::refuse) {
        ++state.refused;
    }
    return result;
}

std::vector<crash_report> upstream_crashed(
    quarantine& state,
    const std::vector<in_flight_request>& in_flight,
    instant now
) {
    ++state.crashes;
    counted_fingerprints by_sender;
    counted_fingerprints by_content;
    for (const in_flight_request& request : in_flight) {
        add_sender(by_sender, request);
        add_content(by_content, request);
    }
    std::vector<crash_report> reports = count_crash(state, by_sender, now);
    for (crash_report& report : count_crash(state, by_content, now)) {
        reports.push_back(std::move(report));
    }
    enforce_max_entries(state);
    return reports;
}

std::vector<crash_report>
completed(quarantine& state, const request_identity& id, instant now) {
    std::vector<crash_report> reports =
        reset_and_report(state, id.from_sender, now);
    for (crash_report& report : reset_and_report(state, id.content, now)) {
        reports.push_back(std::move(report));
    }
    return reports;
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
        record.senders = report.senders;
        record.crashes_by_member = report.crashes_by_member;
    } else if (report.generation == record.generation) {
        record.senders.insert(report.senders.begin(), report.senders.end());
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

std::vector<crash_report> suspects_in(
    const quarantine& state,
    const std::vector<crash_report>& reports,
    instant now
) {
    std::vector<crash_report> result;
    for (const crash_report& report : reports) {
        if (decision_for(state, report.id, now).action !=
            quarantine_action::run) {
            result.push_back(report);
        }
    }
    return result;
}

std::vector<crash_report>
clear(quarantine& state, fingerprint id, instant now) {
    std::set<fingerprint> related{id};
    for (const auto& [content, record] : state.crash_records) {
        if (content == id || record.senders.contains(id)) {
            related.insert(content);
            related.insert(record.senders.begin(), record.senders.end());
        }
    }
    std::vector<crash_report> reports;
    for (const fingerprint one : related) {
        for (crash_report& report : reset_and_report(state, one, now)) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
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
        // A single sender's content says no more than the sender's own entry.
        if (line.crashes > 0 && record.senders.size() != 1) {
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
