// Slides windows over each customer's executions. A plan of R requests a
// second with a burst of B allows R * T + B in any time T.

#include <standins/check/plan_checks.hpp>

#include <standins/check/observed_run.hpp>
#include <standins/check/run_report.hpp>

#include <algorithm>

namespace apricotstile::standins {

namespace {

constexpr std::chrono::seconds windows[] = {
    std::chrono::seconds{1}, std::chrono::seconds{5}};

std::vector<instant>
starts_of(const observed_run& run, const std::string& customer) {
    std::vector<instant> starts;
    for (const execution& one : run.executions) {
        if (one.customer == customer) {
            starts.push_back(one.started);
        }
    }
    std::sort(starts.begin(), starts.end());
    return starts;
}

/// Executions that made the window that ends with them hold too many.
std::uint64_t beyond(
    const std::vector<instant>& starts,
    const promised_plan& plan,
    std::chrono::seconds window
) {
    const auto length = static_cast<std::uint64_t>(window.count());
    const std::uint64_t most = plan.per_second * length + plan.burst;
    std::uint64_t count = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last) {
        while (starts[first] + window <= starts[last]) {
            ++first;
        }
        count += last - first + 1 > most ? 1 : 0;
    }
    return count;
}

} // namespace

void check_plans(const observed_run& run, run_report& report) {
    for (const promised_plan& plan : run.plans) {
        const std::vector<instant> starts = starts_of(run, plan.customer);
        std::uint64_t most = 0;
        for (const std::chrono::seconds window : windows) {
            most = std::max(most, beyond(starts, plan, window));
        }
        report.over_plan += most;
    }
}

} // namespace apricotstile::standins
