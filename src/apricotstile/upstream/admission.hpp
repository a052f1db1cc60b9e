// Admission control for the local upstream: decides which requests start, wait
// or are shed. A request that is shed here has not run.

#ifndef APRICOTSTILE_UPSTREAM_ADMISSION_HPP
#define APRICOTSTILE_UPSTREAM_ADMISSION_HPP

#include <apricotstile/upstream/admission_action.hpp>
#include <apricotstile/upstream/admission_policy.hpp>
#include <apricotstile/upstream/concurrency_limit.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <array>
#include <deque>
#include <unordered_map>
#include <vector>

namespace apricotstile::upstream {

struct queued_work {
    offered_work work;
    instant queued_at;
};

struct running_work {
    request::work_class priority{request::work_class::normal};
    instant started;
    instant deadline;
};

struct admission_counters {
    std::array<std::uint64_t, request::work_class_count> offered{};
    std::array<std::uint64_t, request::work_class_count> started{};
    std::array<std::uint64_t, request::work_class_count> shed{};
};

struct admission {
    admission_policy policy;
    concurrency_limit limit;
    /// One queue per work class, oldest first.
    std::array<std::deque<queued_work>, request::work_class_count> queues;
    std::unordered_map<work_id, running_work> running;
    /// One entry per abandoned request: until when it still counts as running,
    /// because the upstream may still be working on it.
    std::vector<instant> abandoned;
    /// For each class: starts of other classes since its own last start, while
    /// it has queued requests.
    std::array<std::uint32_t, request::work_class_count> skipped_starts{};
    /// Open connections that can't be used.
    std::uint32_t unusable_connections{0};
    /// True while a request runs that must run alone; nothing else starts.
    bool running_alone{false};
    bool draining{false};
    /// True from a crash of the upstream until it is ready: nothing starts.
    bool paused{false};
    admission_counters counters;
};

/// How a started request ended.
enum class work_end : std::uint8_t {
    /// The upstream answered.
    answered,
    /// The upstream rejected it without running it.
    shed_by_upstream,
    /// The connection broke or the upstream crashed.
    lost,
    /// The daemon no longer waits for it; the upstream may still be running it.
    abandoned
};

[[nodiscard]] admission
make_admission(const admission_policy& policy, instant now);

/// Starts, queues or sheds `work`; may also start or shed other requests.
[[nodiscard]] admission_actions
offer(admission& state, const offered_work& work, instant now);

/// Records the end of a started request.
[[nodiscard]] admission_actions
finished(admission& state, work_id id, work_end end, instant now);

/// Sheds queued requests that can't be served in time and starts those that
/// now can be. Must also be called at `next_wake_up`.
[[nodiscard]] admission_actions start_next(admission& state, instant now);

/// Sheds `id` if it is queued and asks the upstream to stop it if it runs. Its
/// caller no longer waits.
[[nodiscard]] admission_actions
cancel(admission& state, work_id id, instant now);

/// Pauses admission after a crash of the upstream. The requests that ran there
/// must still be reported by `finished` as `lost`.
void upstream_crashed(admission& state);

/// Resumes admission after a restart of the upstream, with a new warm-up.
[[nodiscard]] admission_actions upstream_ready(admission& state, instant now);

/// Sheds all new requests; queued and running ones still finish.
void start_drain(admission& state);

/// Whether no request is queued or running, so that a drain is complete.
[[nodiscard]] bool is_idle(const admission& state);

/// When `start_next` must be called if no other event occurs; `instant::max()`
/// for never.
[[nodiscard]] instant next_wake_up(const admission& state);

/// State shown in dumps and metrics.
struct admission_snapshot {
    std::uint32_t allowed{0};
    std::uint32_t running{0};
    std::uint32_t abandoned{0};
    std::array<std::size_t, request::work_class_count> queued{};
    duration mean_service_time{0};
    bool draining{false};
    admission_counters counters;
};

[[nodiscard]] admission_snapshot describe(const admission& state, instant now);

} // namespace apricotstile::upstream

#endif
