// Chooses the instance for a request of a service that isn't sharded by key.
// Under uneven load it takes the instance with the lowest expected latency, and
// one in another region only if the nearer ones would be much slower, since
// traffic between regions is billed by volume. So is traffic between failure
// domains, at a lower price: it counts for large answers.

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

enum class locality_tier : std::uint8_t {
    host,
    failure_domain,
    region,
    other_region
};

/// The load of one instance, as its daemon last reported it.
struct reported_load {
    std::uint32_t slots{1};
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    duration mean_service_time{0};
    /// Recent failures of the instance, per thousand answers.
    std::uint32_t failures_per_thousand{0};
};

/// What this daemon knows of one instance.
struct instance_view {
    reported_load load;
    /// When the load was received.
    instant load_reported_at;
    /// Requests of this daemon that the instance hasn't answered yet.
    std::uint32_t in_flight{0};
    /// `in_flight` when the load was received.
    std::uint32_t in_flight_when_reported{0};
    /// After a refusal or a lost request; until then the instance is chosen
    /// only if all candidates are avoided.
    instant avoided_until;
    /// Lost requests in a row, which lengthen the next backoff.
    std::uint32_t consecutive_losses{0};
};

struct candidate {
    host_id host;
    locality_tier locality{locality_tier::other_region};
    const instance_view* view{nullptr};
};

struct choice_policy {
    /// Round-trip time to another region.
    duration cross_region_round_trip{std::chrono::milliseconds{20}};
    /// How much slower a nearer instance may be before one in another region is
    /// chosen, as a fraction of the target latency.
    double cross_region_penalty{0.5};
    /// The same for another failure domain of the region and an answer of many
    /// times `large_answer_bytes`; half of it if it has twice as many bytes,
    /// nothing below.
    double cross_domain_penalty{0.5};
    double large_answer_bytes{16384};
    /// How much slower an instance that fails all requests counts, in target
    /// latencies; in proportion for one that fails a fraction of them.
    double failure_penalty{3};
    /// Age from which a reported load is stale.
    duration load_max_age{std::chrono::milliseconds{1500}};
    /// A refusal is followed by a backoff between `min_refusal_backoff` and
    /// `loss_backoff`, a lost request by one that starts at `loss_backoff` and
    /// doubles with each further loss.
    duration min_refusal_backoff{std::chrono::milliseconds{30}};
    duration loss_backoff{std::chrono::milliseconds{500}};
    duration max_loss_backoff{std::chrono::seconds{4}};
};

/// Expected latency at an instance that takes `service_time` for a request
/// while it is idle.
[[nodiscard]] duration
expected_latency(const instance_view& view, duration service_time);

/// The instance's share of failures, decayed since its load was reported.
[[nodiscard]] double failure_ratio_now(const instance_view& view, instant now);

/// What decides on the instance for a request, besides the instances.
struct choice_request {
    duration target_latency{0};
    /// Expected bytes of the answer; zero while unknown.
    double answer_bytes{0};
};

/// The best of `candidates`, or nothing if there are none. Avoided ones are
/// considered only if all are avoided.
[[nodiscard]] std::optional<host_id> choose_instance(
    const std::vector<candidate>& candidates,
    const choice_policy& policy,
    const choice_request& request,
    instant now,
    random_source& random
);

/// A request of this daemon has ended, with whatever outcome.
void note_end(instance_view& view);

/// A request was refused for lack of capacity.
void note_refusal(
    instance_view& view,
    const choice_policy& policy,
    duration retry_after,
    instant now
);

/// A request got no answer, or timed out.
void note_loss(instance_view& view, const choice_policy& policy, instant now);

void note_answer(instance_view& view);

} // namespace apricotstile::serving

#endif
