// Counting in parts of the window.

#include <apricotstile/serving/retry_budget.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

std::int64_t part_at(const retry_budget_policy& policy, instant now) {
    const duration length =
        policy.window / static_cast<duration::rep>(retry_budget::parts);
    return now.time_since_epoch() / length;
}

retry_budget::counts& counts_of(retry_budget& budget, std::int64_t part) {
    auto& counts =
        budget.recent.at(static_cast<std::size_t>(part) % retry_budget::parts);
    if (counts.part != part) {
        counts = {part, 0, 0};
    }
    return counts;
}

} // namespace

void count_request(
    retry_budget& budget, const retry_budget_policy& policy, instant now
) {
    ++counts_of(budget, part_at(policy, now)).requests;
}

bool take_repeat(
    retry_budget& budget,
    const retry_budget_policy& policy,
    std::size_t daemons,
    instant now
) {
    const std::int64_t part = part_at(policy, now);
    retry_budget::counts& current = counts_of(budget, part);
    double requests = 0;
    double repeats = 0;
    for (const retry_budget::counts& counts : budget.recent) {
        if (counts.part > part - static_cast<std::int64_t>(budget.parts)) {
            requests += counts.requests;
            repeats += counts.repeats;
        }
    }
    const double share =
        policy.extra / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (repeats + 1 > requests * policy.ratio + share) {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace apricotstile::serving
