// Decides what follows each attempt to have a request served. A request that
// may have run is never answered as "not run", and one that isn't idempotent
// isn't sent again once it may have run.

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
    /// The instance answered, possibly with a failure of its own.
    answered,
    /// The instance reported that it didn't run the request.
    not_executed,
    /// A daemon refused it before it reached the instance: no capacity.
    refused_busy,
    /// Refused by a daemon whose instance accepts no work, or the daemon can't
    /// be reached.
    refused_closed,
    /// Refused by a daemon whose instance doesn't hold the key.
    refused_not_owner,
    /// Refused by a daemon and not retried: the request has crashed each
    /// instance that ran it.
    refused_quarantined,
    /// It reached the instance, or may have, and no complete answer came.
    lost,
    /// As `lost`, because the deadline passed.
    timed_out,
    /// Refused because the instance, or all that there are, is in a region that
    /// the request's route doesn't allow.
    refused_region
};

/// The outcome's name in logs and metrics.
[[nodiscard]] std::string_view name_of(attempt_outcome outcome);

struct request_progress {
    bool idempotent{false};
    bool keyed{false};
    std::uint32_t max_instances{1};
    instant arrived;
    instant target;
    /// When the caller must have its answer.
    instant deadline;
    /// Attempts that were sent to an instance.
    std::uint32_t sent_attempts{0};
    /// Refusals by daemons; they cost nothing but time.
    std::uint32_t refusals{0};
    /// Whether an instance may have run it.
    bool may_have_run{false};
    std::vector<host_id> tried_hosts;
    /// The longest delay that a refusal asked for.
    duration retry_after{0};
};

enum class next_step : std::uint8_t {
    /// Pass the instance's answer on to the caller.
    deliver,
    /// Try another instance, or the key's owner, at once.
    retry_now,
    /// Try the key's owner again after `key_move_retry_interval`.
    retry_later,
    /// Answer that the request certainly hasn't run.
    refuse,
    /// Answer that the request may have run.
    fail
};

struct attempt_result {
    attempt_outcome outcome{attempt_outcome::lost};
    host_id host;
    /// With `answered`: whether the status is an error (5xx).
    bool failed{false};
    duration retry_after{0};
};

struct retry_policy {
    /// After more refusals by daemons than this, the caller is told to retry.
    std::uint32_t max_refusals{3};
    /// Delay between attempts while a key moves to another owner.
    duration key_move_retry_interval{std::chrono::milliseconds{40}};
    /// Fraction of the caller's time for which a request waits for its key to
    /// have an owner again; the rest is left for the caller's own retry.
    double key_wait_fraction{0.5};
    /// When a caller may retry whose key had no owner.
    duration key_move_retry_after{std::chrono::milliseconds{300}};
    /// When a caller may retry if no allowed region can serve its request.
    duration region_retry_after{std::chrono::milliseconds{300}};
    /// An attempt needs at least this much time before the deadline.
    duration min_time_left{std::chrono::milliseconds{20}};
};

/// Call before the request is handed to `host`.
void begin_attempt(request_progress& request, host_id host);

/// Whether a request in progress at an unresponsive host may be sent to another
/// instance too. An answer may still come, so it isn't unless it may run twice
/// and has no key, whose owner would be the only instance.
[[nodiscard]] bool may_try_another_instance(
    const request_progress& request, const retry_policy& policy, instant now
);

/// The request is sent to another instance too. It may be running at the first.
void note_unresponsive(request_progress& request);

/// The step after an attempt has ended. `may_retry` takes from the retry
/// budget; it is called only if a retry at an instance is wanted.
template <class MayRetry>
[[nodiscard]] next_step next_step_after(
    request_progress&,
    const attempt_result&,
    const retry_policy&,
    instant now,
    MayRetry&& may_retry
);

namespace internal {

/// The next step if the retry budget allowed any retry.
struct wanted_step {
    next_step step{next_step::fail};
    /// Whether the step takes from the retry budget, and the step if the budget
    /// is used up.
    bool needs_budget{false};
    next_step without_budget{next_step::fail};
};

[[nodiscard]] wanted_step wanted_step_after(
    request_progress& request,
    const attempt_result& end,
    const retry_policy& policy,
    instant now
);

} // namespace internal

template <class MayRetry>
next_step next_step_after(
    request_progress& request,
    const attempt_result& end,
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
