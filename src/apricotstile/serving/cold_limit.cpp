// The token bucket of a cold instance.

#include <apricotstile/serving/cold_limit.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

using seconds = std::chrono::duration<double>;

/// The bound holds in any window of this length.
constexpr duration window = std::chrono::seconds{1};

/// Requests that are kept off the bound, since the instance may count arrivals
/// on a clock that differs a little.
constexpr double spare_requests = 1;

/// Tokens are refilled at this rate at least: a bound of less than one request
/// a second would let nothing start.
constexpr double min_per_second = 0.25;

/// Rounding of the tokens' fraction, which must not make a due start wait for
/// another nanosecond. It is within `spare_requests`.
constexpr double rounding = 1e-6;

/// A heartbeat that arrives this long after the instance went down may still
/// have been sent before.
constexpr duration late_heartbeat = std::chrono::milliseconds{250};

constexpr duration max_cold_time = std::chrono::minutes{10};

double seconds_of(duration value) {
    return seconds{value}.count();
}

double tokens_at(const cold_limit& limit, instant now) {
    const cold_policy& policy = *limit.policy;
    const double passed =
        seconds_of(std::max(duration{0}, now - limit.counted_at));
    return std::min(policy.burst, limit.tokens + policy.per_second * passed);
}

} // namespace

std::optional<cold_policy> make_cold_policy(
    const std::optional<cold_bounds>& bounds,
    double tolerated_per_second,
    duration start_time
) {
    if (!bounds || tolerated_per_second <= 0 || bounds->overage <= 0) {
        return std::nullopt;
    }
    const double rate = tolerated_per_second * bounds->overage;
    // Requests that arrive within a window were counted within this time.
    const double counted_time = seconds_of(window + max_send_delay);
    const double allowed = rate + bounds->slack - spare_requests;
    cold_policy result;
    result.start_time = start_time;
    result.burst = std::max(1.0, allowed - rate * counted_time);
    result.per_second = std::max(
        min_per_second, std::min(rate, (allowed - result.burst) / counted_time)
    );
    return result;
}

void set_cold_policy(
    cold_limit& limit, const std::optional<cold_policy>& policy, instant now
) {
    double tokens = limit.policy ? tokens_at(limit, now) : 0;
    if (limit.policy && policy && tokens < 0) {
        // A debt lasts as long as before, whatever the new rate is.
        tokens *= policy->per_second / limit.policy->per_second;
    }
    limit.policy = policy;
    limit.tokens = policy ? std::min(policy->burst, tokens) : 0;
    limit.counted_at = now;
}

std::optional<duration> cold_time_from_millis(double millis) {
    if (!std::isfinite(millis) || millis < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> longest = max_cold_time;
    return std::chrono::ceil<duration>(
        std::chrono::duration<double, std::milli>{
            std::min(millis, longest.count())}
    );
}

void note_cold_time(cold_limit& limit, duration remaining, instant now) {
    limit.stated_until = std::max(limit.stated_until, now + remaining);
}

void note_instance_down(cold_limit& limit, instant now) {
    limit.down_since = now;
}

void note_heartbeat(cold_limit& limit, bool is_new_run, instant now) {
    if (limit.down_since &&
        (is_new_run || now - *limit.down_since > late_heartbeat)) {
        limit.down_since.reset();
    }
}

instant cold_until(const cold_limit& limit) {
    if (!limit.policy || !limit.down_since) {
        return limit.stated_until;
    }
    return std::max(
        limit.stated_until, *limit.down_since + limit.policy->start_time
    );
}

bool is_cold(const cold_limit& limit, instant now) {
    return limit.policy && now < cold_until(limit);
}

duration
wait_for_tokens(const cold_limit& limit, std::size_t starts, instant now) {
    if (!is_cold(limit, now)) {
        return duration{0};
    }
    const double missing =
        static_cast<double>(starts) - tokens_at(limit, now) - rounding;
    if (missing <= 0) {
        return duration{0};
    }
    const auto wait = std::chrono::ceil<duration>(seconds{
        missing / limit.policy->per_second});
    return std::min(wait, cold_until(limit) - now);
}

void count_token(cold_limit& limit, instant now) {
    if (!limit.policy) {
        return;
    }
    // Starts of an earlier window don't count, so the debt ends with it.
    const double lowest =
        -limit.policy->per_second * seconds_of(window + max_send_delay);
    limit.tokens = std::max(lowest, tokens_at(limit, now) - 1);
    limit.counted_at = now;
}

duration count_late_send(cold_limit& limit, instant counted, instant now) {
    if (now - counted <= max_send_delay) {
        return duration{0};
    }
    const duration wait = wait_for_tokens(limit, 1, now);
    if (wait > duration{0}) {
        ++limit.rejections;
    } else {
        count_token(limit, now);
    }
    return wait;
}

} // namespace apricotstile::serving
