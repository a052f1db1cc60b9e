// Counts in buckets of a sliding window.

#include <apricotstile/serving/retry_budget.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

std::int64_t bucket_at(const retry_budget_policy& policy, instant now) {
    const duration length =
        policy.window / static_cast<duration::rep>(retry_budget::bucket_count);
    return now.time_since_epoch() / length;
}

retry_budget::counts& counts_of(retry_budget& budget, std::int64_t bucket) {
    auto& counts = budget.recent.at(
        static_cast<std::size_t>(bucket) % retry_budget::bucket_count
    );
    if (counts.bucket != bucket) {
        counts = {bucket, 0, 0};
    }
    return counts;
}

} // namespace

void count_request(
    retry_budget& budget, const retry_budget_policy& policy, instant now
) {
    ++counts_of(budget, bucket_at(policy, now)).requests;
}

bool take_retry(
    retry_budget& budget,
    const retry_budget_policy& policy,
    std::size_t daemons,
    instant now
) {
    const std::int64_t bucket = bucket_at(policy, now);
    retry_budget::counts& current = counts_of(budget, bucket);
    double requests = 0;
    double retries = 0;
    for (const retry_budget::counts& counts : budget.recent) {
        if (counts.bucket >
            bucket - static_cast<std::int64_t>(budget.bucket_count)) {
            requests += counts.requests;
            retries += counts.retries;
        }
    }
    const double share =
        policy.extra / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (retries + 1 > requests * policy.ratio + share) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace apricotstile::serving
