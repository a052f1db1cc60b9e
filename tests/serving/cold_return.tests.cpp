// Replays the return of a failure domain: its instances are cold together, and
// all hosts prefer them, as they have no work. Guards against instances that
// are overrun then, and against a limit that is kept when they are warm.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/work_queue.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

/// Requests that arrive within a second were started within this time.
constexpr duration window = 1s + max_send_delay;

constexpr double tolerated_per_second = 4.6;
constexpr cold_bounds bounds{1.5, 8};
constexpr double allowed = tolerated_per_second * bounds.overage + bounds.slack;

offered_work work(std::uint64_t id, instant now) {
    offered_work result;
    result.id = work_id{id};
    result.priority = 1;
    result.target = now + 500ms;
    result.deadline = now + 3s;
    result.expected = 30ms;
    result.can_go_elsewhere = true;
    return result;
}

work_queue
cold_queue(const std::optional<cold_policy>& policy, duration cold_time) {
    work_queue queue;
    queue.policy.slots = 8;
    queue.open = true;
    queue.has_answered = true;
    set_cold_policy(queue.cold, policy, start);
    note_cold_time(queue.cold, cold_time, start);
    return queue;
}

struct replay_result {
    std::size_t most_in_window{0};
    std::size_t started_while_cold{0};
    std::size_t refused_while_cold{0};
    std::size_t refused_while_warm{0};
    duration shortest_retry{duration::max()};
    duration cold_time{8s};
};

replay_result replay_return(const std::optional<cold_policy>& policy) {
    constexpr std::size_t instances = 6;
    constexpr duration between_requests = 2500us;
    replay_result result;
    random_source random{7};
    std::array<work_queue, instances> queues;
    std::array<std::multimap<instant, work_id>, instances> ends;
    std::array<std::deque<instant>, instances> starts;
    for (work_queue& one : queues) {
        one = cold_queue(policy, result.cold_time);
    }
    std::uint64_t last_id = 0;
    for (instant now = start; now < start + 12s; now += between_requests) {
        const bool cold = now < start + result.cold_time;
        const auto chosen =
            static_cast<std::size_t>(random_below(random, instances));
        work_queue& queue = queues.at(chosen);
        auto& running = ends.at(chosen);
        while (!running.empty() && running.begin()->first <= now) {
            std::ignore = finished(queue, running.begin()->second, now);
            running.erase(running.begin());
        }
        const offered_work one = work(++last_id, now);
        for (const work_action& action : offer(queue, one, now)) {
            if (action.decision != work_decision::start) {
                (cold ? result.refused_while_cold : result.refused_while_warm
                ) += 1;
                result.shortest_retry =
                    std::min(result.shortest_retry, action.retry_after);
                continue;
            }
            running.emplace(now + 30ms, action.id);
            if (!cold) {
                continue;
            }
            ++result.started_while_cold;
            auto& recent = starts.at(chosen);
            recent.push_back(now);
            while (now - recent.front() > window) {
                recent.pop_front();
            }
            result.most_in_window =
                std::max(result.most_in_window, recent.size());
        }
    }
    return result;
}

} // namespace

TEST_CASE(
    "instances of a failure domain that come back together aren't overrun",
    "[serving][cold]"
) {
    const replay_result limited =
        replay_return(make_cold_policy(bounds, tolerated_per_second, 3s));
    CHECK(static_cast<double>(limited.most_in_window) <= allowed);
    // Not far below it either: the rate alone makes 6.9 a second.
    CHECK(limited.started_while_cold > 6 * 8 * 6.5);
    CHECK(limited.refused_while_cold > 0);
    CHECK(limited.shortest_retry > 0ms);
    CHECK(limited.refused_while_warm == 0);
    const replay_result unlimited = replay_return(std::nullopt);
    CHECK(static_cast<double>(unlimited.most_in_window) > 2 * allowed);
}
