// Converts between crash counts and their records.

#include <apricotstile/upstream/quarantine_records.hpp>

#include <apricotstile/upstream/quarantine.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

bool has_refusable_count(const quarantine& state, const crash_report& report) {
    std::uint32_t crashes = 0;
    for (const auto& [member, count] : report.crashes_by_member) {
        crashes += count.crashes;
    }
    return crashes >= state.policy.crashes_to_refuse;
}

bool was_counted_here(const quarantine& state, const crash_report& report) {
    return std::any_of(
        report.crashes_by_member.begin(),
        report.crashes_by_member.end(),
        [&](const auto& one) {
            return one.first.host == state.self.host;
        }
    );
}

void drop_oldest(quarantine_records& records) {
    if (records.size() <= max_recorded_requests) {
        return;
    }
    std::sort(
        records.begin(),
        records.end(),
        [](const recorded_crashes& left, const recorded_crashes& right) {
            return left.last_crash_ms > right.last_crash_ms;
        }
    );
    records.resize(max_recorded_requests);
}

bool same_counts_of_one(
    const recorded_crashes& left, const recorded_crashes& right
) {
    return left.report.id == right.report.id &&
           left.report.generation == right.report.generation &&
           left.report.senders == right.report.senders &&
           left.report.crashes_by_member == right.report.crashes_by_member;
}

} // namespace

quarantine_records
records_to_keep(const quarantine& state, instant now, std::int64_t unix_ms) {
    quarantine_records result;
    for (crash_report& report : report_all(state, now)) {
        if (!has_refusable_count(state, report) ||
            !was_counted_here(state, report)) {
            continue;
        }
        const std::int64_t last_crash_ms =
            unix_ms - to_milliseconds(report.since_last_crash);
        report.since_last_crash = duration{0};
        result.push_back({std::move(report), last_crash_ms});
    }
    drop_oldest(result);
    std::sort(
        result.begin(),
        result.end(),
        [](const recorded_crashes& left, const recorded_crashes& right) {
            return left.report.id < right.report.id;
        }
    );
    return result;
}

bool same_counts(
    const quarantine_records& left, const quarantine_records& right
) {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), same_counts_of_one
    );
}

void restore(
    quarantine& state,
    const quarantine_records& records,
    instant now,
    std::int64_t unix_ms
) {
    if (state.policy.faults.ignores_records) {
        return;
    }
    for (const recorded_crashes& one : records) {
        crash_report report = one.report;
        // The time of day may have been set back since.
        report.since_last_crash = std::chrono::milliseconds{
            std::max<std::int64_t>(unix_ms - one.last_crash_ms, 0)};
        merge(state, report, now);
    }
}

} // namespace apricotstile::upstream
