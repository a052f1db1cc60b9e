// Work for the upstream beside this daemon: what starts, what waits and what
// is refused early. Everything refused here certainly did not run.

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

struct waiting_work {
    offered_work work;
    instant since;
};

struct running_work {
    request::work_class importance{request::work_class::normal};
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
    /// One queue for each class, oldest first.
    std::array<std::deque<waiting_work>, request::work_class_count> queues;
    std::unordered_map<work_id, running_work> running;
    /// Until when a request that was given up on is still counted as running,
    /// since the upstream may not have noticed.
    std::vector<instant> given_up;
    /// Starts that each class was passed over for while it waited.
    std::array<std::uint32_t, request::work_class_count> passed_over{};
    /// Connections that are held open but can't be used.
    std::uint32_t unusable_connections{0};
    /// True while one request runs alone.
    bool exclusive{false};
    bool draining{false};
    /// True from the upstream's death until it is ready again: nothing starts.
    bool paused{false};
    admission_counters counters;
};

/// How work that was started has ended.
enum class work_end : std::uint8_t {
    /// The upstream answered.
    answered,
    /// The upstream refused it without running it.
    shed_by_upstream,
    /// The connection broke or the upstream died.
    lost,
    /// It was given up on while the upstream may still be running it.
    given_up
};

[[nodiscard]] admission
make_admission(const admission_policy& policy, instant now);

/// Starts, queues or sheds `work`; may start and shed others as well.
[[nodiscard]] admission_actions
offer(admission& state, const offered_work& work, instant now);

/// Takes the end of work that was started.
[[nodiscard]] admission_actions
finished(admission& state, work_id id, work_end end, instant now);

/// Sheds what can't be served in time and starts what now can. Call it at
/// `next_wake_up` too.
[[nodiscard]] admission_actions next(admission& state, instant now);

/// The caller no longer waits for `id`.
[[nodiscard]] admission_actions
cancel(admission& state, work_id id, instant now);

/// The upstream has died. What ran there is still to be reported `lost`.
void upstream_died(admission& state);

/// The upstream is ready again: empty and cold.
[[nodiscard]] admission_actions upstream_ready(admission& state, instant now);

/// Takes no more work; what waits and what runs is finished.
void start_drain(admission& state);

/// Whether a drain is complete.
[[nodiscard]] bool is_idle(const admission& state);

/// When `next` is due without any other event; far in the future for never.
[[nodiscard]] instant next_wake_up(const admission& state);

/// What dumps and metrics show.
struct admission_snapshot {
    std::uint32_t allowed{0};
    std::uint32_t running{0};
    std::uint32_t given_up{0};
    std::array<std::size_t, request::work_class_count> queued{};
    duration mean_service{0};
    bool draining{false};
    admission_counters counters;
};

[[nodiscard]] admission_snapshot describe(const admission& state, instant now);

} // namespace apricotstile::upstream

#endif
