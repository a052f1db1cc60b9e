// Choice of the instance for a request of a service that isn't divided by
// key. Answers uneven load: the instance that is expected to answer first is
// taken among the near ones, and a farther one only where the near ones would
// answer late, since that traffic is paid by volume.

#ifndef APRICOTSTILE_SERVING_INSTANCE_CHOICE_HPP
#define APRICOTSTILE_SERVING_INSTANCE_CHOICE_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace apricotstile::serving {

enum class nearness : std::uint8_t { host, failure_domain, region, elsewhere };

/// The load of one instance, as its daemon last told it.
struct reported_load {
    std::uint32_t slots{1};
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    duration mean_service{0};
    /// Of a thousand answers lately, those that were failures of the instance.
    std::uint32_t failing{0};
};

/// What this daemon knows of one instance beside a peer.
struct instance_view {
    reported_load load;
    /// When the load was told.
    instant load_reported_at;
    /// Requests of this daemon there, without an answer yet.
    std::uint32_t in_flight{0};
    /// Those in flight when the load was told.
    std::uint32_t in_flight_when_reported{0};
    /// It isn't chosen before, after a refusal or a loss.
    instant avoided_until;
    /// Losses in a row, which make the next avoidance longer.
    std::uint32_t consecutive_losses{0};
};

struct candidate {
    host_id host;
    nearness distance{nearness::elsewhere};
    const instance_view* view{nullptr};
};

struct choice_policy {
    /// Round trip to another region.
    duration cross_region_round_trip{std::chrono::milliseconds{20}};
    /// What a nearer instance may be slower before a farther one is taken, as
    /// a part of the target latency.
    double cross_region_penalty{0.5};
    /// What an instance that fails all requests may be slower, in target
    /// latencies; one that fails a part of them that part of it.
    double failure_penalty{3};
    /// After this time a told load says little.
    duration load_max_age{std::chrono::milliseconds{1500}};
    /// How long a refusal or a first loss keeps requests away.
    duration min_refusal_backoff{std::chrono::milliseconds{30}};
    duration loss_backoff{std::chrono::milliseconds{500}};
    duration max_loss_backoff{std::chrono::seconds{4}};
};

/// The time in which the instance is expected to answer where it takes
/// `service` for a request while idle.
[[nodiscard]] duration
expected_latency(const instance_view& view, duration service_time);

/// The part of an instance's answers that are failures, as far as is known now.
[[nodiscard]] double failing_now(const instance_view& view, instant now);

/// The best of `candidates`, or nothing where there is none. Those that are
/// avoided count only where all are.
[[nodiscard]] std::optional<host_id> choose_instance(
    const std::vector<candidate>& candidates,
    const choice_policy& policy,
    duration target_latency,
    instant now,
    random_source& random
);

/// A request of this daemon is there no more, however it ended.
void note_end(instance_view& view);

/// Requests were refused for lack of room.
void note_refusal(
    instance_view& view,
    const choice_policy& policy,
    duration retry_after,
    instant now
);

/// A request was lost there, or timed out.
void note_loss(instance_view& view, const choice_policy& policy, instant now);

void note_answer(instance_view& view);

} // namespace apricotstile::serving

#endif
