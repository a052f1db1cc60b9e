// What becomes of a request after each attempt to have it served. Whatever
// may have run is never called "not run", and a request that isn't idempotent
// leaves towards one instance only.

#ifndef APRICOTSTILE_SERVING_REQUEST_PROGRESS_HPP
#define APRICOTSTILE_SERVING_REQUEST_PROGRESS_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace apricotstile::serving {

/// How one attempt to have a request served has ended.
enum class attempt_outcome : std::uint8_t {
    /// The instance answered; it may be a failure of its own.
    answered,
    /// The instance said that it didn't run the request.
    not_executed,
    /// A daemon refused it before it reached the instance: no room.
    refused_busy,
    /// As before: the instance takes no work, or the daemon isn't reached.
    refused_closed,
    /// As before: the instance beside that daemon doesn't hold the key.
    refused_not_owner,
    /// As before, for good: it has crashed each instance that ran it.
    refused_quarantined,
    /// It reached the instance, or may have, and no whole answer came.
    lost,
    /// As `lost`, at the deadline.
    timed_out
};

/// The outcome's name in logs and metrics.
[[nodiscard]] std::string_view name_of(attempt_outcome outcome);

struct request_progress {
    bool idempotent{false};
    bool keyed{false};
    std::uint32_t max_instances{1};
    instant arrived;
    instant target;
    /// When the caller gets its answer at the latest.
    instant deadline;
    /// Instances that it was sent to.
    std::uint32_t sent_attempts{0};
    /// Refusals by daemons; they cost nothing but time.
    std::uint32_t refusals{0};
    /// Whether an instance may have run it.
    bool may_have_run{false};
    std::vector<host_id> tried_hosts;
    /// The longest that a refusal asked to wait.
    duration retry_after{0};
};

enum class next_step : std::uint8_t {
    /// Pass the instance's answer on.
    deliver,
    /// Try another instance, or the key's owner, now.
    retry_now,
    /// Try the key's owner again after `key_move_pause`.
    retry_later,
    /// Answer that it certainly hasn't run.
    refuse,
    /// Answer that it may have run.
    fail
};

struct attempt_end {
    attempt_outcome outcome{attempt_outcome::lost};
    host_id host;
    /// With `answered`: whether the instance failed it (5xx).
    bool failed{false};
    duration retry_after{0};
};

struct retry_policy {
    /// Refusals by daemons after which the caller is told to come back.
    std::uint32_t max_refusals{3};
    /// Between tries while a key changes hands.
    duration key_move_retry_interval{std::chrono::milliseconds{40}};
    /// The part of its caller's time for which a request waits for its key to
    /// be held again; the rest is left for coming back.
    double key_wait_fraction{0.5};
    /// When a caller may come back whose key found no holder.
    duration key_move_retry_after{std::chrono::milliseconds{300}};
    /// A new try needs this much of the caller's time.
    duration min_time_left{std::chrono::milliseconds{20}};
};

/// The request is about to be handed to `host`.
void begin_attempt(request_progress& request, host_id host);

/// Whether a request that is in progress at a silent host may be sent to
/// another instance instead: an answer may still come, so it is left alone
/// unless it may run twice and its owner isn't the only one.
[[nodiscard]] bool may_abandon_attempt(
    const request_progress& request, const retry_policy& policy, instant now
);

/// The request waits for its host no more, though it may run there.
void abandon_attempt(request_progress& request);

/// An attempt has ended. `may_repeat` asks the retry budget, and is asked only
/// where a repeat at an instance is wanted.
template <class MayRetry>
[[nodiscard]] next_step next_step_after(
    request_progress&,
    const attempt_end&,
    const retry_policy&,
    instant now,
    MayRetry&& may_retry
);

namespace internal {

/// What would follow if the budget allowed any repeat.
struct wanted_step {
    next_step step{next_step::fail};
    /// Whether the step needs a place in the retry budget, and what follows
    /// without one.
    bool needs_budget{false};
    next_step without_budget{next_step::fail};
};

[[nodiscard]] wanted_step wanted_step_after(
    request_progress& request,
    const attempt_end& end,
    const retry_policy& policy,
    instant now
);

} // namespace internal

template <class MayRetry>
next_step next_step_after(
    request_progress& request,
    const attempt_end& end,
    const retry_policy& policy,
    instant now,
    MayRetry&& may_retry
) {
    const internal::wanted_step wanted =
        internal::wanted_step_after(request, end, policy, now);
    if (wanted.needs_budget && !may_retry()) {
        return wanted.without_budget;
    }
    return wanted.step;
}

} // namespace apricotstile::serving

#endif
