// Due times of starts.

#include <apricotstile/serving/start_limit.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

/// Time between two evenly spaced starts.
duration interval_of(const start_limit& limit) {
    const double rate = std::max(*limit.per_second, limit.min_per_second);
    return std::chrono::ceil<duration>(std::chrono::duration<double>{1 / rate});
}

/// How long before it is due work may start, by starts that weren't used.
duration tolerance_of(const start_limit& limit) {
    return std::max(duration{0}, limit.burst_time - interval_of(limit));
}

} // namespace

void set_rate(
    start_limit& limit, std::optional<double> per_second, instant now
) {
    const bool was_limited = limit.per_second.has_value();
    limit.per_second = per_second;
    if (!per_second) {
        return;
    }
    const instant first_due = now + interval_of(limit) + tolerance_of(limit);
    limit.next_due =
        was_limited ? std::min(limit.next_due, first_due) : first_due;
}

duration
wait_for_starts(const start_limit& limit, std::size_t starts, instant now) {
    if (!limit.per_second) {
        return duration{0};
    }
    const auto before_last = static_cast<duration::rep>(starts) - 1;
    const instant last_due =
        std::max(now, limit.next_due) + interval_of(limit) * before_last;
    return std::max(duration{0}, last_due - tolerance_of(limit) - now);
}

void count_start(start_limit& limit, instant now) {
    if (limit.per_second) {
        limit.next_due = std::max(now, limit.next_due) + interval_of(limit);
    }
}

} // namespace apricotstile::serving
