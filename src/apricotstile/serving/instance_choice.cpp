// Latency estimates and the comparison of instances.

#include <apricotstile/serving/instance_choice.hpp>

#include <apricotstile/serving/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// Used if no candidate has reported a service time.
constexpr duration default_service_time = std::chrono::milliseconds{50};
constexpr std::uint32_t max_doublings = 3;

struct scored_candidate {
    host_id host;
    duration latency{0};
    bool avoided{false};
};

} // namespace

duration expected_latency(const instance_view& view, duration service_time) {
    // Change in this daemon's own requests since the load was reported.
    const std::int64_t change_since_report =
        static_cast<std::int64_t>(view.in_flight) -
        static_cast<std::int64_t>(view.in_flight_when_reported);
    const std::int64_t outstanding = std::max<std::int64_t>(
        0,
        static_cast<std::int64_t>(view.load.running) + view.load.waiting +
            change_since_report
    );
    const auto slots =
        static_cast<std::int64_t>(std::max<std::uint32_t>(view.load.slots, 1));
    const std::int64_t over_capacity =
        std::max<std::int64_t>(0, outstanding + 1 - slots);
    // Latency grows even before all slots are used. The term also spreads
    // requests while all instances have free slots.
    const duration contention = service_time * outstanding / (slots * 4);
    return service_time + contention + service_time * over_capacity / slots;
}

namespace {

/// Lower median of the service times that candidates have reported.
duration median_service_time(const std::vector<candidate>& candidates) {
    std::vector<duration> reported;
    for (const candidate& one : candidates) {
        if (one.view->load.mean_service_time > duration{0}) {
            reported.push_back(one.view->load.mean_service_time);
        }
    }
    if (reported.empty()) {
        return default_service_time;
    }
    const auto middle = reported.begin() +
                        static_cast<std::ptrdiff_t>((reported.size() - 1) / 2);
    std::nth_element(reported.begin(), middle, reported.end());
    return *middle;
}

/// The reported service time, or the median if nothing was reported. A stale
/// report counts as the median at most, so that an instance that was slow gets
/// requests that show its present speed.
duration service_time_of(
    const instance_view& view,
    duration median,
    const choice_policy& policy,
    instant now
) {
    const duration reported = view.load.mean_service_time;
    if (reported == duration{0}) {
        return median;
    }
    const bool is_stale = view.in_flight == 0 &&
                          now - view.load_reported_at > policy.load_max_age;
    return is_stale ? std::min(reported, median) : reported;
}

/// Latency penalty for failures. An instance whose health check passes may
/// still fail every request, and fail it fast.
duration failure_penalty_of(
    const instance_view& view,
    const choice_policy& policy,
    duration target_latency,
    instant now
) {
    return scaled(
        target_latency, policy.failure_penalty * failure_ratio_now(view, now)
    );
}

/// How much slower a nearer instance may be than one at `locality`.
duration distance_penalty(
    locality_tier locality,
    const choice_policy& policy,
    const choice_request& request
) {
    if (locality == locality_tier::other_region) {
        return policy.cross_region_round_trip +
               scaled(request.target_latency, policy.cross_region_penalty);
    }
    const double excess_bytes =
        std::max(0.0, request.answer_bytes - policy.large_answer_bytes);
    if (locality != locality_tier::region || excess_bytes == 0) {
        return duration{0};
    }
    const double weight =
        excess_bytes / (excess_bytes + policy.large_answer_bytes);
    return scaled(request.target_latency, policy.cross_domain_penalty * weight);
}

} // namespace

double failure_ratio_now(const instance_view& view, instant now) {
    constexpr double thousandth = 0.001;
    return decayed_failure_ratio(
        view.load.failures_per_thousand * thousandth, view.load_reported_at, now
    );
}

std::optional<host_id> choose_instance(
    const std::vector<candidate>& candidates,
    const choice_policy& policy,
    const choice_request& request,
    instant now,
    random_source& random
) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const duration median = median_service_time(candidates);
    std::vector<scored_candidate> all;
    all.reserve(candidates.size());
    for (const candidate& one : candidates) {
        scored_candidate entry{one.host};
        entry.latency = expected_latency(
            *one.view, service_time_of(*one.view, median, policy, now)
        );
        entry.latency +=
            failure_penalty_of(*one.view, policy, request.target_latency, now);
        entry.latency += distance_penalty(one.locality, policy, request);
        entry.avoided = now < one.view->avoided_until;
        all.push_back(entry);
    }
    const bool all_avoided =
        std::all_of(all.begin(), all.end(), [](const scored_candidate& one) {
            return one.avoided;
        });
    const scored_candidate* best = nullptr;
    std::uint64_t ties = 0;
    for (const scored_candidate& one : all) {
        if (one.avoided && !all_avoided) {
            continue;
        }
        if (best == nullptr || one.latency < best->latency) {
            best = &one;
            ties = 1;
        } else if (one.latency == best->latency) {
            ++ties;
            if (random_below(random, ties) == 0) {
                best = &one;
            }
        }
    }
    return best->host;
}

void note_refusal(
    instance_view& view,
    const choice_policy& policy,
    duration retry_after,
    instant now
) {
    const duration pause = std::clamp(
        retry_after, policy.min_refusal_backoff, policy.loss_backoff
    );
    view.avoided_until = std::max(view.avoided_until, now + pause);
}

void note_loss(instance_view& view, const choice_policy& policy, instant now) {
    const std::uint32_t doublings =
        std::min(view.consecutive_losses, max_doublings);
    const duration pause = std::min(
        policy.max_loss_backoff, policy.loss_backoff * (1U << doublings)
    );
    view.avoided_until = std::max(view.avoided_until, now + pause);
    ++view.consecutive_losses;
}

void note_end(instance_view& view) {
    view.in_flight -= std::min(1U, view.in_flight);
}

void note_answer(instance_view& view) {
    view.consecutive_losses = 0;
}

} // namespace apricotstile::serving
