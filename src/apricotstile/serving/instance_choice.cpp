// Estimates and comparison of instances.

#include <apricotstile/serving/instance_choice.hpp>

#include <apricotstile/serving/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// Where no candidate has told a service time.
constexpr duration assumed_service = std::chrono::milliseconds{50};
constexpr std::uint32_t most_doublings = 3;

struct scored {
    host_id host;
    duration latency{0};
    bool avoided{false};
    bool far{false};
};

} // namespace

duration expected_latency(const instance_view& view, duration service) {
    // What this daemon has sent or got back since the load was told.
    const std::int64_t since =
        static_cast<std::int64_t>(view.in_flight) -
        static_cast<std::int64_t>(view.in_flight_when_told);
    const std::int64_t there = std::max<std::int64_t>(
        0,
        static_cast<std::int64_t>(view.load.running) + view.load.waiting + since
    );
    const auto slots =
        static_cast<std::int64_t>(std::max<std::uint32_t>(view.load.slots, 1));
    const std::int64_t beyond = std::max<std::int64_t>(0, there + 1 - slots);
    // A fuller instance is slower even before its slots are used up; this
    // also spreads requests while all have room.
    const duration crowding = service * there / (slots * 4);
    return service + crowding + service * beyond / slots;
}

namespace {

/// The lower median of the service times that candidates have told.
duration usual_service(const std::vector<candidate>& candidates) {
    std::vector<duration> told;
    for (const candidate& one : candidates) {
        if (one.view->load.mean_service > duration{0}) {
            told.push_back(one.view->load.mean_service);
        }
    }
    if (told.empty()) {
        return assumed_service;
    }
    const auto middle =
        told.begin() + static_cast<std::ptrdiff_t>((told.size() - 1) / 2);
    std::nth_element(told.begin(), middle, told.end());
    return *middle;
}

/// What the instance told, or the usual time where it told nothing lately: a
/// newcomer, or one that was slow, gets requests that show what it is now.
duration service_of(
    const instance_view& view,
    duration usual,
    const choice_policy& policy,
    instant now
) {
    const duration told = view.load.mean_service;
    if (told == duration{0}) {
        return usual;
    }
    const bool is_stale =
        view.in_flight == 0 && now - view.told > policy.load_lifetime;
    return is_stale ? std::min(told, usual) : told;
}

/// What an instance's failures count as. An instance whose health check is good
/// may still fail all that it gets, and fast.
duration reluctance_to(
    const instance_view& view,
    const choice_policy& policy,
    duration target_latency,
    instant now
) {
    return scaled(
        target_latency, policy.failure_reluctance * failing_now(view, now)
    );
}

} // namespace

double failing_now(const instance_view& view, instant now) {
    constexpr double thousandth = 0.001;
    return faded_failures(view.load.failing * thousandth, view.told, now);
}

std::optional<host_id> choose_instance(
    const std::vector<candidate>& candidates,
    const choice_policy& policy,
    duration target_latency,
    instant now,
    random_source& random
) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const duration reluctance = scaled(target_latency, policy.far_reluctance);
    const duration usual = usual_service(candidates);
    std::vector<scored> all;
    all.reserve(candidates.size());
    for (const candidate& one : candidates) {
        scored entry{one.host};
        entry.latency = expected_latency(
            *one.view, service_of(*one.view, usual, policy, now)
        );
        entry.latency += reluctance_to(*one.view, policy, target_latency, now);
        entry.avoided = now < one.view->avoided_until;
        entry.far = one.distance == nearness::elsewhere;
        if (entry.far) {
            entry.latency += policy.far_round_trip + reluctance;
        }
        all.push_back(entry);
    }
    const bool all_avoided =
        std::all_of(all.begin(), all.end(), [](const scored& one) {
            return one.avoided;
        });
    const scored* best = nullptr;
    std::uint64_t equal = 0;
    for (const scored& one : all) {
        if (one.avoided && !all_avoided) {
            continue;
        }
        if (best == nullptr || one.latency < best->latency) {
            best = &one;
            equal = 1;
        } else if (one.latency == best->latency) {
            ++equal;
            if (random_below(random, equal) == 0) {
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
    const duration pause =
        std::clamp(retry_after, policy.refusal_pause, policy.loss_pause);
    view.avoided_until = std::max(view.avoided_until, now + pause);
}

void note_loss(instance_view& view, const choice_policy& policy, instant now) {
    const std::uint32_t doublings = std::min(view.losses, most_doublings);
    const duration pause = std::min(
        policy.longest_loss_pause, policy.loss_pause * (1U << doublings)
    );
    view.avoided_until = std::max(view.avoided_until, now + pause);
    ++view.losses;
}

void note_end(instance_view& view) {
    view.in_flight -= std::min(1U, view.in_flight);
}

void note_answer(instance_view& view) {
    view.losses = 0;
}

} // namespace apricotstile::serving
