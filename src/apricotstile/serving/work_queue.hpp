// Work for the one instance beside this daemon: what starts, what waits and
// what is refused at once. Answers loads above the instance's slots: what
// would finish too late to be of use is refused while its caller can still
// turn elsewhere, and what waits starts in order of urgency. Work of callers
// that were refused before and are late by now starts after the timely work of
// its urgency: served first, it would make that late in its turn, until nearly
// all is late though little is too much.

#ifndef APRICOTSTILE_SERVING_WORK_QUEUE_HPP
#define APRICOTSTILE_SERVING_WORK_QUEUE_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace apricotstile::serving {

/// Chosen by the daemon, unique among its work.
using work_id = strong_id<struct work_id_tag, std::uint64_t>;

struct offered_work {
    work_id id;
    /// Whether a request that already runs on some instance waits for it.
    bool nested{false};
    /// Zero is the most urgent.
    std::uint32_t priority{0};
    /// Until when its answer is of full use.
    instant target;
    /// Until when its caller waits.
    instant deadline;
    /// How long the instance is expected to work on it.
    duration expected{0};
    /// Whether nothing else may run beside it: it may crash the instance.
    bool alone{false};
};

struct work_queue_policy {
    std::uint32_t slots{1};
    /// Work that waits at most.
    std::size_t max_waiting{256};
    /// Work waits only where it is expected to end within this part of its time
    /// to the target; under lasting overload whatever waits ends right there.
    double target_fraction{0.85};
    /// The same part of the time to the deadline for nested work, since the
    /// work that waits for it is lost without it.
    double nested_deadline_fraction{0.9};
    /// Late work waits only where it is expected to start within this part of
    /// the time to its deadline; else its caller is told at once.
    double late_wait_fraction{0.15};
    /// One in so many starts goes to the least urgent work that waits, so that
    /// it is served too while urgent work alone would fill the instance.
    std::uint64_t fair_start_interval{8};
};

struct work_queue {
    work_queue_policy policy;
    /// Whether work may start.
    bool open{false};

    struct waiting_work {
        offered_work work;
        instant queued_at;
    };

    /// Starts first: nested work, then by priority, then what isn't late, then
    /// the oldest.
    using queue_position = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
    std::map<queue_position, waiting_work> waiting;
    std::unordered_map<work_id, queue_position> positions;
    /// Work that runs, with its expected time.
    std::unordered_map<work_id, offered_work> running;
    /// Work that runs alone; nothing else starts meanwhile.
    std::optional<work_id> alone;
    std::uint64_t arrivals{0};
    /// Starts of work that waited.
    std::uint64_t starts{0};
};

enum class work_decision : std::uint8_t {
    start,
    /// It would end too late; it hasn't run.
    refuse_busy,
    /// The instance takes no work; it hasn't run.
    refuse_closed,
    /// Its caller's deadline passed while it waited; it hasn't run.
    refuse_expired
};

struct work_action {
    work_id id;
    work_decision decision{work_decision::start};
    /// With a refusal: when there may be room.
    duration retry_after{0};
};

/// Starts, queues or refuses `work`. The actions may concern other work too.
[[nodiscard]] std::vector<work_action>
offer(work_queue& queue, const offered_work& work, instant now);

/// Running work has ended.
[[nodiscard]] std::vector<work_action>
finished(work_queue& queue, work_id id, instant now);

/// Forgets work that waits. Returns whether it waited.
bool withdraw(work_queue& queue, work_id id);

/// Refuses everything that waits and all that comes until `open`.
[[nodiscard]] std::vector<work_action> close(work_queue& queue);

/// How long `work` would wait if it came now.
[[nodiscard]] duration
expected_wait(const work_queue& queue, const offered_work& work, instant now);

} // namespace apricotstile::serving

#endif
