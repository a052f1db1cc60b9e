// Counts in buckets of a sliding window.

#include <apricotstile/serving/windowed_retry_budget.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

std::int64_t
bucket_at(const windowed_retry_budget_policy& policy, instant now) {
    const duration length =
        policy.window /
        static_cast<duration::rep>(windowed_retry_budget::bucket_count);
    return now.time_since_epoch() / length;
}

windowed_retry_budget::counts&
counts_of(windowed_retry_budget& budget, std::int64_t bucket) {
    auto& counts = budget.recent.at(
        static_cast<std::size_t>(bucket) % windowed_retry_budget::bucket_count
    );
    if (counts.bucket != bucket) {
        counts = {bucket, 0, 0};
    }
    return counts;
}

} // namespace

void count_request(
    windowed_retry_budget& budget,
    const windowed_retry_budget_policy& policy,
    instant now
) {
    ++counts_of(budget, bucket_at(policy, now)).requests;
}

bool take_retry(
    windowed_retry_budget& budget,
    const windowed_retry_budget_policy& policy,
    std::size_t daemons,
    instant now
) {
    const std::int64_t bucket = bucket_at(policy, now);
    windowed_retry_budget::counts& current = counts_of(budget, bucket);
    double requests = 0;
    double retries = 0;
    for (const windowed_retry_budget::counts& counts : budget.recent) {
        if (counts.bucket >
            bucket - static_cast<std::int64_t>(budget.bucket_count)) {
            requests += counts.requests;
            retries += counts.retries;
        }
    }
    const double share = policy.fixed_retries /
                         static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (retries + 1 > requests * policy.retries_per_request + share) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace apricotstile::serving
