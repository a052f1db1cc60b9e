// The report as JSON.

#include <standins/check/run_report.hpp>

#include <nlohmann/json.hpp>

#include <cmath>

namespace apricotstile::standins {

namespace {

double rounded(double value) {
    constexpr double places = 100;
    return std::round(value * places) / places;
}

} // namespace

nlohmann::json to_json(const run_report& report) {
    return {
        {"requests", report.requests},
        {"answered", report.answered},
        {"not_run", report.not_run},
        {"unknown", report.unknown},
        {"hung_up", report.hung_up},
        {"attempts", report.attempts},
        {"executions", report.executions},
        {"lost", report.lost},
        {"doubled", report.doubled},
        {"not_run_but_ran", report.not_run_but_ran},
        {"over_plan", report.over_plan},
        {"wrong_answer", report.wrong_answer},
        {"cut_in_flight", report.cut_in_flight},
        {"stale_token", report.stale_token},
        {"two_owners", report.two_owners},
        {"p50_ms", rounded(report.p50_ms)},
        {"p99_ms", rounded(report.p99_ms)},
        {"max_unavailable_ms", rounded(report.max_unavailable_ms)},
        {"max_unavailable_at", report.max_unavailable_at},
        {"keys_moved", report.keys_moved},
        {"imbalance", rounded(report.imbalance)},
        {"refusals", report.refusals}};
}

} // namespace apricotstile::standins
