// Order, spacing and admission of large answers.

#include <apricotstile/serving/egress_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// Inverse weight of one observation in an average.
constexpr double smoothing = 16;

/// Shortest delay that a refused caller is asked to wait.
constexpr duration min_retry_after = std::chrono::milliseconds{20};

/// Backlog, weighted by the share of large answers, from which the link counts
/// as saturated: two parts, as one is under way at a moderate load too.
constexpr int saturated_parts = 2;

/// An upper limit of the waiting requests that stand for the link.
constexpr double max_link_waiting = 10'000;

double large_rate(const egress_policy& policy) {
    return policy.bytes_per_second * (1 - policy.reserve);
}

std::size_t part_bytes(const egress_policy& policy) {
    const double seconds =
        std::chrono::duration<double>(policy.part_time).count();
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(large_rate(policy) * seconds)
    );
}

/// When an answer with this deadline must have left.
instant latest_end(const egress_policy& policy, instant deadline) {
    return deadline - policy.delivery_margin;
}

using held_position =
    std::map<egress_schedule::position, egress_schedule::held_answer>::iterator;

void erase(egress_schedule& schedule, held_position item) {
    schedule.held_bytes -= item->second.size;
    schedule.positions.erase(item->first.second);
    schedule.held.erase(item);
}

/// Finds the answer to give up if not all can leave in time. Of those due up to
/// the first late one it is the one with the most unsent bytes, which leaves
/// the most answers in time; but never one in favor of an answer that would be
/// late even if it left first.
std::optional<held_position> find_late(egress_schedule& schedule, instant now) {
    instant end = std::max(now, schedule.link_free_at);
    const instant start = end;
    held_position largest = schedule.held.begin();
    for (auto item = schedule.held.begin(); item != schedule.held.end();
         ++item) {
        const duration needed = transfer_time(
            schedule.policy, static_cast<double>(item->second.unsent)
        );
        const instant due = latest_end(schedule.policy, item->first.first);
        if (start + needed > due) {
            return item;
        }
        if (item->second.unsent > largest->second.unsent) {
            largest = item;
        }
        end += needed;
        if (end > due) {
            return largest;
        }
    }
    return std::nullopt;
}

void give_up_excess(
    egress_schedule& schedule, instant now, std::vector<egress_action>& actions
) {
    while (schedule.held_bytes > schedule.policy.max_held_bytes) {
        const auto last = std::prev(schedule.held.end());
        actions.push_back(
            {last->first.second, egress_decision::give_up_for_memory}
        );
        ++schedule.given_up_for_memory;
        erase(schedule, last);
    }
    while (const auto late = find_late(schedule, now)) {
        actions.push_back({(*late)->first.second, egress_decision::give_up_late}
        );
        ++schedule.given_up_late;
        erase(schedule, *late);
    }
}

/// How much later than due some answer would leave if one more of `bytes` were
/// added; zero or less if all could leave in time. Answers due before the added
/// one aren't delayed by it.
duration added_lateness(
    const egress_schedule& schedule,
    const egress_request& request,
    double bytes,
    instant now
) {
    struct entry {
        instant target;
        instant deadline;
        double bytes{0};
    };

    const egress_policy& policy = schedule.policy;
    double ahead = bytes;
    std::vector<entry> behind;
    const auto add = [&](const entry& one) {
        if (one.deadline <= request.deadline) {
            ahead += one.bytes;
        } else {
            behind.push_back(one);
        }
    };
    for (const auto& [position, one] : schedule.held) {
        add({one.target, position.first, static_cast<double>(one.unsent)});
    }
    for (const auto& [id, one] : schedule.expected) {
        add({one.target, one.deadline, one.bytes});
    }
    const instant ready = now + request.service_time;
    const instant in_turn =
        std::max(now, schedule.link_free_at) + transfer_time(policy, ahead);
    const instant end = std::max(in_turn, ready + transfer_time(policy, bytes));
    const bool is_late = ready + transfer_time(policy, bytes) > request.target;
    const instant aim =
        is_late ? request.deadline : std::min(request.target, request.deadline);
    duration worst = end - (now + scaled(aim - now, policy.target_fraction));
    if (is_late) {
        // Its deadline comes early, so that it would leave before others.
        worst = std::max(
            worst,
            backlog(schedule, now) -
                scaled(aim - now, policy.late_wait_fraction)
        );
    }
    std::sort(
        behind.begin(),
        behind.end(),
        [](const entry& left, const entry& right) {
            return left.deadline < right.deadline;
        }
    );
    instant behind_end = in_turn;
    for (const entry& one : behind) {
        behind_end += transfer_time(policy, one.bytes);
        const instant timely_end =
            now + scaled(one.target - now, policy.target_fraction);
        const bool is_timely =
            behind_end - transfer_time(policy, bytes) <= timely_end;
        const instant latest = latest_end(policy, one.deadline);
        worst = std::max(
            worst,
            behind_end - (is_timely ? std::min(timely_end, latest) : latest)
        );
    }
    return worst;
}

/// A moment within the policy's spread, different for each refusal.
duration next_spread(egress_schedule& schedule) {
    constexpr double golden_ratio_fraction = 0.6180339887498949;
    const double place =
        static_cast<double>(++schedule.refused) * golden_ratio_fraction;
    return scaled(schedule.policy.retry_spread, place - std::floor(place));
}

/// What is left of a route's mean, as a fraction.
double decay_of(
    const egress_policy& policy,
    const egress_schedule::route_size& size,
    instant now
) {
    if (!size.refused_at) {
        return 1;
    }
    const std::chrono::duration<double> age = now - *size.refused_at;
    const std::chrono::duration<double> half_life = policy.size_half_life;
    return std::exp2(-age / half_life);
}

} // namespace

bool is_enabled(const egress_schedule& schedule) {
    return schedule.policy.bytes_per_second > 0;
}

bool is_large(const egress_schedule& schedule, std::size_t bytes) {
    return is_enabled(schedule) && bytes > schedule.policy.large_above;
}

duration transfer_time(const egress_policy& policy, double bytes) {
    return std::chrono::ceil<duration>(std::chrono::duration<double>{
        bytes / large_rate(policy)});
}

std::optional<egress_refusal>
admit(egress_schedule& schedule, const egress_request& request, instant now) {
    const double bytes = expected_bytes(schedule, request.route, now);
    if (!is_enabled(schedule) ||
        bytes <= static_cast<double>(schedule.policy.large_above)) {
        return std::nullopt;
    }
    if (!request.nested) {
        const duration lateness = added_lateness(schedule, request, bytes, now);
        if (lateness > duration{0}) {
            auto& refused_at = schedule.route_sizes[request.route].refused_at;
            refused_at = refused_at.value_or(now);
            return egress_refusal{
                std::max(min_retry_after, lateness) + next_spread(schedule)};
        }
    }
    schedule.expected[request.id] = {bytes, request.target, request.deadline};
    return std::nullopt;
}

void note_end(egress_schedule& schedule, egress_id id) {
    schedule.expected.erase(id);
}

void note_size(
    egress_schedule& schedule,
    std::uint32_t route,
    std::size_t bytes,
    instant now
) {
    if (!is_enabled(schedule)) {
        return;
    }
    schedule.large_share +=
        ((is_large(schedule, bytes) ? 1 : 0) - schedule.large_share) /
        smoothing;
    const auto found = schedule.route_sizes.find(route);
    const auto seen = static_cast<double>(bytes);
    if (found != schedule.route_sizes.end()) {
        egress_schedule::route_size& size = found->second;
        // The answer replaces what the mean has lost while it decayed.
        const double weight =
            std::max(1 / smoothing, 1 - decay_of(schedule.policy, size, now));
        const double before = expected_bytes(schedule, route, now);
        size.mean = before + (seen - before) * weight;
        size.last_seen = ++schedule.answers_seen;
        size.refused_at.reset();
        return;
    }
    if (schedule.route_sizes.size() >= schedule.policy.max_routes) {
        schedule.route_sizes.erase(std::min_element(
            schedule.route_sizes.begin(),
            schedule.route_sizes.end(),
            [](const auto& left, const auto& right) {
                return left.second.last_seen < right.second.last_seen;
            }
        ));
    }
    schedule.route_sizes[route] = {seen, ++schedule.answers_seen, std::nullopt};
}

double expected_bytes(
    const egress_schedule& schedule, std::uint32_t route, instant now
) {
    const auto found = schedule.route_sizes.find(route);
    if (found == schedule.route_sizes.end()) {
        return 0;
    }
    return found->second.mean * decay_of(schedule.policy, found->second, now);
}

void hold(
    egress_schedule& schedule,
    egress_id id,
    std::size_t bytes,
    instant deadline,
    instant target
) {
    const egress_schedule::position place{deadline, id};
    schedule.held[place] = {bytes, bytes, target};
    schedule.positions[id] = place;
    schedule.held_bytes += bytes;
}

void withdraw(egress_schedule& schedule, egress_id id) {
    const auto found = schedule.positions.find(id);
    if (found != schedule.positions.end()) {
        erase(schedule, schedule.held.find(found->second));
    }
}

std::vector<egress_action> release_due(
    egress_schedule& schedule,
    instant now,
    const std::function<bool(egress_id)>& can_send
) {
    std::vector<egress_action> actions;
    give_up_excess(schedule, now, actions);
    const egress_policy& policy = schedule.policy;
    // A wake-up that comes late doesn't leave the link idle afterwards.
    schedule.link_free_at =
        std::max(schedule.link_free_at, now - policy.part_time);
    while (!schedule.held.empty() && schedule.link_free_at <= now) {
        const auto next = std::find_if(
            schedule.held.begin(),
            schedule.held.end(),
            [&](const auto& one) {
                return can_send(one.first.second);
            }
        );
        if (next == schedule.held.end()) {
            schedule.link_free_at = now + policy.part_time;
            break;
        }
        egress_schedule::held_answer& answer = next->second;
        const std::size_t bytes = std::min(answer.unsent, part_bytes(policy));
        answer.unsent -= bytes;
        schedule.link_free_at +=
            transfer_time(policy, static_cast<double>(bytes));
        const bool is_last = answer.unsent == 0;
        actions.push_back(
            {next->first.second, egress_decision::send, bytes, is_last}
        );
        if (is_last) {
            erase(schedule, next);
        }
    }
    return actions;
}

std::optional<instant> next_release(const egress_schedule& schedule) {
    return schedule.held.empty() ? std::nullopt
                                 : std::optional{schedule.link_free_at};
}

duration backlog(const egress_schedule& schedule, instant now) {
    if (!is_enabled(schedule)) {
        return duration{0};
    }
    double bytes = 0;
    for (const auto& [position, one] : schedule.held) {
        bytes += static_cast<double>(one.unsent);
    }
    for (const auto& [id, one] : schedule.expected) {
        bytes += one.bytes;
    }
    return std::max(duration{0}, schedule.link_free_at - now) +
           transfer_time(schedule.policy, bytes);
}

reported_load with_link_load(
    const egress_schedule& schedule, const reported_load& load, instant now
) {
    const duration wait = scaled(backlog(schedule, now), schedule.large_share);
    if (!is_enabled(schedule) || load.mean_service_time <= duration{0} ||
        wait < schedule.policy.part_time * saturated_parts) {
        return load;
    }
    // `expected_latency` adds 1.25 service times for each `slots` requests
    // beyond the free slots.
    constexpr double latency_per_round = 1.25;
    const std::chrono::duration<double> added = wait;
    const std::chrono::duration<double> mean = load.mean_service_time;
    const double rounds = added / mean / latency_per_round;
    const std::uint32_t outstanding = load.running + load.waiting;
    const std::uint32_t free =
        load.slots > outstanding ? load.slots - outstanding : 0;
    reported_load result = load;
    result.waiting +=
        free + static_cast<std::uint32_t>(
                   std::min(max_link_waiting, std::ceil(rounds * load.slots))
               );
    return result;
}

} // namespace apricotstile::serving
