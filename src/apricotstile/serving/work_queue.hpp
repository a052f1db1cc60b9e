// Work for the instance beside this daemon: decides what starts, what waits and
// what is refused at once. Under load above the instance's slots, work that
// would finish too late to be useful is refused while its caller can still try
// another instance, and waiting work starts in order of urgency. Work of
// callers that were refused before and are late by now starts after the timely
// work of the same priority: served first, it would make that work late in
// turn, until a slight overload makes nearly all work late.

#ifndef APRICOTSTILE_SERVING_WORK_QUEUE_HPP
#define APRICOTSTILE_SERVING_WORK_QUEUE_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/serving/cold_limit.hpp>
#include <apricotstile/serving/start_limit.hpp>
#include <apricotstile/serving/work_estimate.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace apricotstile::serving {

/// Assigned by the daemon, unique among its work.
using work_id = strong_id<struct work_id_tag, std::uint64_t>;

struct offered_work {
    work_id id;
    /// Whether a request that already runs on some instance waits for it.
    bool nested{false};
    /// Zero is the most urgent.
    std::uint32_t priority{0};
    /// An answer after this time is late and of less use.
    instant target;
    /// When its caller stops waiting.
    instant deadline;
    /// Expected service time.
    duration expected{0};
    /// Whether it must run alone, since it may crash the instance.
    bool alone{false};
    /// Whether it isn't known if it is nested. Such work may wait longer than
    /// a caller's: if it is refused in vain, the request that waits for it
    /// fails.
    bool may_be_nested{false};
    /// Whether another instance may serve it. Such work doesn't wait because
    /// this instance is cold.
    bool can_go_elsewhere{false};
    /// How far its service time may differ from `expected`.
    work_spread spread{};
};

struct work_queue_policy {
    std::uint32_t slots{1};
    /// Slots used until the instance's first answer, which may state a limit.
    std::uint32_t first_slots{4};
    /// Maximum number of waiting items.
    std::size_t max_waiting{256};
    /// Work waits only if it is expected to end within this fraction of the
    /// time to its target; under lasting overload all work that waits ends
    /// right at that limit.
    double target_fraction{0.85};
    /// The same as a fraction of the time to the deadline, for nested work: the
    /// request that waits for it fails without it.
    double nested_deadline_fraction{0.9};
    /// The same for work that may be nested, or may be a caller's.
    double maybe_nested_deadline_fraction{0.5};
    /// Late work waits only if it is expected to start within this fraction of
    /// the time to its deadline; else its caller is refused at once.
    double late_wait_fraction{0.15};
    /// One in this many starts goes to the least urgent waiting work, so that
    /// it is served too while urgent work alone would fill the instance.
    std::uint64_t fair_start_interval{8};
    /// Work refused because of a limit on starts is asked to return within this
    /// time after its turn would come, each at another moment.
    duration retry_spread{std::chrono::milliseconds{500}};
};

struct work_queue {
    work_queue_policy policy;
    /// Whether work may start.
    bool open{false};
    /// Whether enough is known of the instance to use all of its slots.
    bool has_answered{false};

    struct waiting_work {
        offered_work work;
        instant queued_at;
    };

    /// Start order: nested work first, then by priority, then work that isn't
    /// late, then the oldest.
    using queue_position = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
    std::map<queue_position, waiting_work> waiting;
    std::unordered_map<work_id, queue_position> positions;

    struct running_work {
        offered_work work;
        instant started_at;
    };

    std::unordered_map<work_id, running_work> running;
    /// Running work that must run alone; nothing else starts meanwhile.
    std::optional<work_id> alone;
    std::uint64_t arrivals{0};
    /// Starts of work that had waited.
    std::uint64_t starts{0};
    start_limit limit;
    cold_limit cold;
    /// Refusals because of either limit.
    std::uint64_t limited{0};
};

enum class work_decision : std::uint8_t {
    start,
    /// It would end too late; it hasn't run.
    refuse_busy,
    /// The instance accepts no work; it hasn't run.
    refuse_closed,
    /// Its deadline passed while it waited; it hasn't run.
    refuse_expired
};

struct work_action {
    work_id id;
    work_decision decision{work_decision::start};
    /// With a refusal: when capacity is expected.
    duration retry_after{0};
};

/// Starts, queues or refuses `work`. The actions may concern other work too.
[[nodiscard]] std::vector<work_action>
offer(work_queue& queue, const offered_work& work, instant now);

/// Running work has ended; waiting work may start.
[[nodiscard]] std::vector<work_action>
finished(work_queue& queue, work_id id, instant now);

/// The instance has answered for the first time; waiting work may start.
[[nodiscard]] std::vector<work_action>
note_first_answer(work_queue& queue, instant now);

/// Sets or removes the limit on starts; waiting work may start.
[[nodiscard]] std::vector<work_action> set_start_limit(
    work_queue& queue, std::optional<double> per_second, instant now
);

/// When `start_due` is to be called, if waiting work waits for nothing but the
/// limits on starts.
[[nodiscard]] std::optional<instant>
next_start(const work_queue& queue, instant now);

/// Starts the waiting work that the limits on starts allow by now.
[[nodiscard]] std::vector<work_action>
start_due(work_queue& queue, instant now);

/// To be called after a change of `cold`: starts the waiting work that may
/// start now, and refuses what the limit holds back and another instance may
/// serve.
[[nodiscard]] std::vector<work_action>
apply_cold_limit(work_queue& queue, instant now);

/// Removes waiting work. Returns whether it was waiting.
bool withdraw(work_queue& queue, work_id id);

/// Refuses all waiting work; new work is still accepted.
[[nodiscard]] std::vector<work_action> refuse_waiting(work_queue& queue);

/// Refuses all waiting work, and all new work until `open` is set.
[[nodiscard]] std::vector<work_action> close(work_queue& queue);

/// The slots that work of duration `mean` can keep busy under the start limit;
/// all of them if there is none.
[[nodiscard]] double usable_slots(const work_queue& queue, duration mean);

/// The same, with the limit of a cold instance as well. While it is cold, at
/// least one slot counts as unused, by which others can tell.
[[nodiscard]] double
usable_slots_while_cold(const work_queue& queue, duration mean, instant now);

/// How long `work` would wait if it arrived now.
[[nodiscard]] duration
expected_wait(const work_queue& queue, const offered_work& work, instant now);

} // namespace apricotstile::serving

#endif
