// Counts calls and their outcomes, and joins the other checks.

#include <standins/check/check_run.hpp>

#include <standins/check/call_checks.hpp>
#include <standins/check/observed_run.hpp>
#include <standins/check/ownership_checks.hpp>
#include <standins/check/plan_checks.hpp>
#include <standins/check/unavailable_time.hpp>

#include <algorithm>

namespace apricotstile::standins {

namespace {

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

void note_latency(const observed_run& run, run_report& report) {
    std::vector<double> taken;
    for (const attempt& one : run.attempts) {
        if (one.result == attempt_result::answered) {
            const std::chrono::duration<double, std::milli> took =
                one.done - one.due;
            taken.push_back(took.count());
        }
    }
    std::sort(taken.begin(), taken.end());
    report.p50_ms = percentile(taken, 0.5);
    report.p99_ms = percentile(taken, 0.99);
}

} // namespace

run_report check_run(const observed_run& run) {
    run_report report;
    report.executions = run.executions.size();
    check_calls(run, report);
    check_plans(run, report);
    check_ownership(run, report);
    check_unavailable_time(run, report);
    note_latency(run, report);
    return report;
}

} // namespace apricotstile::standins
