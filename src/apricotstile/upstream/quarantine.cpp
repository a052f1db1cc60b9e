// Counts crashes per request and merges the counts of all daemons.

#include <apricotstile/upstream/quarantine.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

crash_count sum(const suspicion& held) {
    crash_count total;
    for (const auto& [member, count] : held.by_member) {
        total.crashes += count.crashes;
        total.alone += count.alone;
    }
    return total;
}

bool has_expired(const quarantine& state, const suspicion& held, instant now) {
    return now - held.last_crash >= state.policy.expiry;
}

verdict verdict_on(const quarantine& state, const suspicion& held) {
    const crash_count total = sum(held);
    if (state.policy.faults.blames_all_in_flight && total.crashes > 0) {
        return verdict::refuse;
    }
    if (total.crashes >= state.policy.crashes_to_refuse && total.alone > 0) {
        return verdict::refuse;
    }
    if (total.crashes >= state.policy.crashes_to_suspect &&
        !state.policy.faults.runs_suspects_together) {
        return verdict::run_alone;
    }
    return verdict::run;
}

suspicion_report
make_report(fingerprint id, const suspicion& held, instant now) {
    return {
        id, held.label, held.generation, held.by_member, now - held.last_crash};
}

void drop_least_blamed(quarantine& state) {
    const auto least = std::min_element(
        state.suspicions.begin(),
        state.suspicions.end(),
        [](const auto& left, const auto& right) {
            const std::uint32_t less = sum(left.second).crashes;
            const std::uint32_t more = sum(right.second).crashes;
            return std::pair{less, left.second.last_crash} <
                   std::pair{more, right.second.last_crash};
        }
    );
    state.suspicions.erase(least);
}

void keep_bound(quarantine& state) {
    while (state.suspicions.size() > state.policy.max_entries) {
        drop_least_blamed(state);
    }
}

/// Resets the counts in a new generation, which replaces the counts of earlier
/// generations at the other daemons.
void acquit(suspicion& held) {
    ++held.generation;
    held.by_member.clear();
}

suspicion&
entry_for(quarantine& state, const crash_witness& witness, instant now) {
    suspicion& held = state.suspicions[witness.id];
    if (!held.by_member.empty() && has_expired(state, held, now)) {
        acquit(held);
    }
    held.label = witness.label;
    held.last_crash = now;
    return held;
}

std::vector<suspicion_report>
acquit_and_report(quarantine& state, fingerprint id, instant now) {
    const auto found = state.suspicions.find(id);
    if (found == state.suspicions.end() || found->second.by_member.empty()) {
        return {};
    }
    acquit(found->second);
    return {make_report(id, found->second, now)};
}

} // namespace

judgement judge(quarantine& state, fingerprint id, instant now) {
    const auto found = state.suspicions.find(id);
    if (found == state.suspicions.end() ||
        has_expired(state, found->second, now)) {
        return {};
    }
    const suspicion& held = found->second;
    judgement result{verdict_on(state, held), duration{0}};
    if (result.verdict == verdict::refuse) {
        ++state.refused;
        result.retry_after = held.last_crash + state.policy.expiry - now;
    }
    return result;
}

std::vector<suspicion_report> upstream_crashed(
    quarantine& state, const std::vector<crash_witness>& in_flight, instant now
) {
    ++state.crashes;
    std::vector<fingerprint> counted;
    for (const crash_witness& witness : in_flight) {
        // Two copies of the same request count once.
        if (std::find(counted.begin(), counted.end(), witness.id) ==
            counted.end()) {
            counted.push_back(witness.id);
            ++entry_for(state, witness, now).by_member[state.self].crashes;
        }
    }
    if (counted.size() == 1) {
        ++state.suspicions.at(counted.front()).by_member[state.self].alone;
    }
    std::vector<suspicion_report> reports;
    reports.reserve(counted.size());
    for (const fingerprint id : counted) {
        reports.push_back(make_report(id, state.suspicions.at(id), now));
    }
    keep_bound(state);
    return reports;
}

std::vector<suspicion_report>
completed(quarantine& state, fingerprint id, instant now) {
    return acquit_and_report(state, id, now);
}

void merge(quarantine& state, const suspicion_report& report, instant now) {
    if (state.policy.faults.ignores_reports ||
        report.since_last_crash >= state.policy.expiry) {
        return;
    }
    suspicion& held = state.suspicions[report.id];
    held.label = report.label;
    held.last_crash = std::max(held.last_crash, now - report.since_last_crash);
    if (report.generation > held.generation) {
        held.generation = report.generation;
        held.by_member = report.by_member;
    } else if (report.generation == held.generation) {
        for (const auto& [member, theirs] : report.by_member) {
            crash_count& ours = held.by_member[member];
            ours.crashes = std::max(ours.crashes, theirs.crashes);
            ours.alone = std::max(ours.alone, theirs.alone);
        }
    }
    keep_bound(state);
}

std::vector<suspicion_report> report_all(const quarantine& state, instant now) {
    std::vector<suspicion_report> reports;
    reports.reserve(state.suspicions.size());
    for (const auto& [id, held] : state.suspicions) {
        if (!has_expired(state, held, now)) {
            reports.push_back(make_report(id, held, now));
        }
    }
    return reports;
}

std::vector<suspicion_report>
clear(quarantine& state, fingerprint id, instant now) {
    return acquit_and_report(state, id, now);
}

void forget_expired(quarantine& state, instant now) {
    std::erase_if(state.suspicions, [&](const auto& one) {
        return has_expired(state, one.second, now);
    });
}

std::vector<suspect_line> describe(const quarantine& state, instant now) {
    std::vector<suspect_line> lines;
    for (const auto& [id, held] : state.suspicions) {
        const std::uint32_t crashes = sum(held).crashes;
        if (crashes > 0 && !has_expired(state, held, now)) {
            const duration left = held.last_crash + state.policy.expiry - now;
            lines.push_back(
                {id, held.label, verdict_on(state, held), crashes, left}
            );
        }
    }
    std::sort(
        lines.begin(),
        lines.end(),
        [](const suspect_line& left, const suspect_line& right) {
            return std::pair{right.crashes, left.id.value} <
                   std::pair{left.crashes, right.id.value};
        }
    );
    return lines;
}

} // namespace apricotstile::upstream
