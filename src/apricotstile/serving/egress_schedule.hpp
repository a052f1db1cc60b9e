// Schedules large answers to peers by deadline, in parts, at the rate of the
// host's link less a reserve for small frames, and refuses a request before it
// runs if its answer couldn't leave in time. Without it, on a link that is
// offered more than it carries, small answers wait behind large ones beyond
// their deadlines, since what a socket has accepted leaves in the order of
// arrival.

#ifndef APRICOTSTILE_SERVING_EGRESS_SCHEDULE_HPP
#define APRICOTSTILE_SERVING_EGRESS_SCHEDULE_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/serving/instance_choice.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotstile::serving {

/// Identifies a request and its answer; assigned by the daemon, never reused.
using egress_id = strong_id<struct egress_id_tag, std::uint64_t>;

struct egress_policy {
    /// The link's rate. At zero the schedule is off.
    double bytes_per_second{0};
    /// Fraction of the link that large answers leave to small frames and to the
    /// headers of packets.
    double reserve{0.15};
    /// Answers of more bytes are large.
    std::size_t large_above{16U << 10U};
    /// Bytes of all answers that are held back.
    std::size_t max_held_bytes{16U << 20U};
    /// Large answers leave in parts that take this long: a small frame waits
    /// no longer behind one, and a longer time costs fewer wake-ups.
    duration part_time{std::chrono::milliseconds{20}};
    /// An answer must have left this long before its deadline, to arrive in
    /// time.
    duration delivery_margin{std::chrono::milliseconds{20}};
    /// A request is admitted if its answer is expected to have left within this
    /// fraction of the time to its target, as in `work_queue_policy`.
    double target_fraction{0.85};
    /// A request that misses its target anyway is admitted if its answer waits
    /// for less than this fraction of the time to its deadline, as in
    /// `work_queue_policy`: callers that were refused before come back late,
    /// and would make the answers of all others late.
    double late_wait_fraction{0.15};
    /// A refused request is asked to return within this time after its answer
    /// could leave, each at another moment.
    duration retry_spread{std::chrono::milliseconds{500}};
    /// Half-life of a route's mean while its requests are refused.
    duration size_half_life{std::chrono::seconds{10}};
    /// Routes whose answers' sizes are kept.
    std::size_t max_routes{1024};
};

struct egress_schedule {
    egress_policy policy;

    struct held_answer {
        std::size_t size{0};
        /// Bytes that haven't left yet.
        std::size_t unsent{0};
        /// An answer after this time is late and of less use.
        instant target;
    };

    using position = std::pair<instant, egress_id>;
    /// By deadline.
    std::map<position, held_answer> held;
    std::unordered_map<egress_id, position> positions;
    /// Sizes of all held answers: a part that has left frees no memory yet.
    std::size_t held_bytes{0};
    /// When the parts released so far have left at the rate of large answers.
    instant link_free_at;

    struct expected_answer {
        double bytes{0};
        instant target;
        instant deadline;
    };

    /// Admitted requests whose answers are expected to be large.
    std::unordered_map<egress_id, expected_answer> expected;

    struct route_size {
        double mean{0};
        std::uint64_t last_seen{0};
        /// The first refusal since the last answer. From then on the mean
        /// decays: a route whose requests are all refused would otherwise stay
        /// refused after its answers have become smaller.
        std::optional<instant> refused_at;
    };

    /// Moving averages of answers' sizes by hash of the route's name.
    std::unordered_map<std::uint32_t, route_size> route_sizes;
    std::uint64_t answers_seen{0};
    /// Moving average of the share of large ones among the answers to peers.
    double large_share{0};

    std::uint64_t refused{0};
    std::uint64_t given_up_late{0};
    std::uint64_t given_up_for_memory{0};
};

enum class egress_decision : std::uint8_t {
    /// The next `bytes` of the answer leave now.
    send,
    /// The answer is removed: it, or one that is due before or after it,
    /// couldn't leave by its deadline otherwise.
    give_up_late,
    /// The answer is removed: too many bytes are held back.
    give_up_for_memory
};

struct egress_action {
    egress_id id;
    egress_decision decision{egress_decision::send};
    std::size_t bytes{0};
    /// With `send`: whether these are the answer's last bytes.
    bool is_last{false};
};

struct egress_request {
    egress_id id;
    std::uint32_t route{0};
    /// Whether a running request waits for it, or may do so. It is never
    /// refused.
    bool nested{false};
    /// Expected time until its answer is ready.
    duration service_time{0};
    /// An answer after this time is late and of less use.
    instant target;
    instant deadline;
};

/// Why a request is refused; it hasn't run.
struct egress_refusal {
    /// When an answer of this size could leave in time.
    duration retry_after{0};
};

[[nodiscard]] bool is_enabled(const egress_schedule& schedule);

/// Whether an answer of this size is to be held back.
[[nodiscard]] bool is_large(const egress_schedule& schedule, std::size_t bytes);

/// How long `bytes` of large answers take on the link.
[[nodiscard]] duration transfer_time(const egress_policy& policy, double bytes);

/// Decides on a request before it runs. If it is admitted, `note_end` must be
/// called when it has ended, whatever its outcome.
[[nodiscard]] std::optional<egress_refusal>
admit(egress_schedule& schedule, const egress_request& request, instant now);

/// An admitted request has ended.
void note_end(egress_schedule& schedule, egress_id id);

/// Learns the size of an answer to a peer.
void note_size(
    egress_schedule& schedule,
    std::uint32_t route,
    std::size_t bytes,
    instant now
);

/// Expected size of the route's answers; zero while it is unknown.
[[nodiscard]] double expected_bytes(
    const egress_schedule& schedule, std::uint32_t route, instant now
);

/// Adds a large answer. `release_due` is to be called next.
void hold(
    egress_schedule& schedule,
    egress_id id,
    std::size_t bytes,
    instant deadline,
    instant target = instant::max()
);

/// Removes an answer that nobody waits for any more.
void withdraw(egress_schedule& schedule, egress_id id);

/// The parts that leave now, and the answers to give up. `can_send` says
/// whether the answer's connection takes more bytes; the link isn't kept idle
/// for one that doesn't.
[[nodiscard]] std::vector<egress_action> release_due(
    egress_schedule& schedule,
    instant now,
    const std::function<bool(egress_id)>& can_send
);

/// When `release_due` is to be called; nothing if no answer is held.
[[nodiscard]] std::optional<instant>
next_release(const egress_schedule& schedule);

/// How long the answers that are held or expected will occupy the link.
[[nodiscard]] duration backlog(const egress_schedule& schedule, instant now);

/// `load` with additional waiting requests while the link is saturated, so that
/// other daemons expect the latency that the link adds to an average request.
[[nodiscard]] reported_load with_link_load(
    const egress_schedule& schedule, const reported_load& load, instant now
);

} // namespace apricotstile::serving

#endif
