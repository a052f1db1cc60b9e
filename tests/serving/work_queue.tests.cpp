// Guards against overload that makes nearly all answers late, against work that
// is lost or started twice, and against starvation of nested or less urgent
// work.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/work_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

offered_work
work(std::uint64_t id, std::uint32_t priority = 1, bool nested = false) {
    return {work_id{id}, nested, priority, start + 250ms, start + 600ms, 50ms};
}

work_queue open_queue(std::uint32_t slots) {
    work_queue queue;
    queue.policy.slots = slots;
    queue.open = true;
    queue.has_answered = true;
    return queue;
}

work_decision only(const std::vector<work_action>& actions) {
    REQUIRE(actions.size() == 1);
    return actions.front().decision;
}

/// Callers' work at a multiple of an instance's capacity: the fractions that
/// end within the target, end late, or are refused.
struct overload {
    double useful{0};
    double late{0};
    double refused{0};
};

/// With `refuses` the queue's policy applies; else all work waits until its
/// deadline.
overload run_overload(double factor, bool refuses) {
    constexpr int slots = 10;
    constexpr duration service = 50ms;
    constexpr int total = 4000;
    work_queue queue = open_queue(slots);
    queue.policy.max_waiting = refuses ? 256 : 100000;
    const auto gap =
        std::chrono::duration_cast<duration>(service / (slots * factor));
    std::multimap<instant, work_id> ends;
    std::unordered_map<work_id, offered_work> offered;
    overload result;
    const auto take = [&](const std::vector<work_action>& actions, instant at) {
        for (const work_action& one : actions) {
            if (one.decision == work_decision::start) {
                ends.emplace(at + service, one.id);
            } else {
                result.refused += 1.0 / total;
            }
        }
    };
    const auto run_until = [&](instant until) {
        while (!ends.empty() && ends.begin()->first <= until) {
            const auto [at, id] = *ends.begin();
            ends.erase(ends.begin());
            const double part = 1.0 / total;
            (at <= offered[id].target ? result.useful : result.late) +=
                at <= offered[id].deadline ? part : 0;
            take(finished(queue, id, at), at);
        }
    };
    for (int i = 0; i < total; ++i) {
        const instant now = start + gap * i;
        run_until(now);
        offered_work one = work(static_cast<std::uint64_t>(i + 1));
        one.target = now + (refuses ? 250ms : 600ms);
        one.deadline = now + 600ms;
        offered[one.id] = one;
        offered[one.id].target = now + 250ms;
        take(offer(queue, one, now), now);
    }
    run_until(start + 1h);
    return result;
}

/// Callers that retry twice after a refusal, slightly above an instance's
/// capacity. Returns the fraction that is answered within its target, counted
/// from the first attempt.
double run_retrying(double factor, bool knows_first_attempt) {
    constexpr int slots = 18;
    constexpr duration service = 260ms;
    constexpr duration target = 800ms;
    constexpr duration caller_timeout = 5s;
    constexpr int total = 6000;
    constexpr int attempts = 3;
    work_queue queue = open_queue(slots);

    struct caller {
        instant first;
        int attempts{0};
    };

    std::vector<caller> callers(total);
    std::multimap<instant, std::size_t> arrivals;
    const auto gap =
        std::chrono::duration_cast<duration>(service / (slots * factor));
    for (int i = 0; i < total; ++i) {
        callers[static_cast<std::size_t>(i)].first = start + gap * i;
        arrivals.emplace(start + gap * i, i);
    }
    std::multimap<instant, work_id> ends;
    double timely = 0;
    const auto take = [&](const std::vector<work_action>& actions, instant at) {
        for (const work_action& one : actions) {
            const std::size_t index = one.id.value - 1;
            if (one.decision == work_decision::start) {
                ends.emplace(at + service, one.id);
            } else if (callers[index].attempts < attempts) {
                arrivals.emplace(at + one.retry_after, index);
            }
        }
    };
    while (!arrivals.empty() || !ends.empty()) {
        if (arrivals.empty() ||
            (!ends.empty() && ends.begin()->first <= arrivals.begin()->first)) {
            const auto [at, id] = *ends.begin();
            ends.erase(ends.begin());
            timely += at <= callers[id.value - 1].first + target ? 1 : 0;
            take(finished(queue, id, at), at);
            continue;
        }
        const auto [now, index] = *arrivals.begin();
        arrivals.erase(arrivals.begin());
        caller& one = callers[index];
        ++one.attempts;
        offered_work offered;
        offered.id = work_id{index + 1};
        offered.target = (knows_first_attempt ? one.first : now) + target;
        offered.deadline = one.first + caller_timeout;
        offered.expected = service;
        take(offer(queue, offered, now), now);
    }
    return timely / total;
}

} // namespace

TEST_CASE("work that may be nested waits longer than a caller's", "[serving]") {
    // After a start, nested requests with most of their time left were refused.
    work_queue queue = open_queue(1);
    offered_work lookup = work(2);
    lookup.target = start + 60ms;
    REQUIRE(only(offer(queue, work(1), start)) == work_decision::start);
    lookup.may_be_nested = true;
    CHECK(offer(queue, lookup, start).empty());
    lookup.id = work_id{3};
    lookup.may_be_nested = false;
    CHECK(only(offer(queue, lookup, start)) == work_decision::refuse_busy);
}

TEST_CASE(
    "work that may be nested doesn't wait for a rate limit", "[serving]"
) {
    // Callers' first requests waited seconds for an instance with a low limit
    // while another one was idle.
    work_queue queue = open_queue(1);
    REQUIRE(set_start_limit(queue, 4, start).empty());
    offered_work lookup = work(1);
    lookup.may_be_nested = true;
    CHECK(only(offer(queue, lookup, start)) == work_decision::refuse_busy);
}

// Running work was taken for half done however long it had run, so work was
// queued behind a request of the tail and ended late, or was refused although
// the slot was about to become free.
TEST_CASE(
    "the expected wait follows how long work has run", "[serving][queue]"
) {
    work_queue queue = open_queue(1);
    offered_work running = work(1);
    running.spread = {0.2, 0.03, 7};
    REQUIRE(only(offer(queue, running, start)) == work_decision::start);
    const auto wait_after = [&](duration elapsed) {
        offered_work next = work(2);
        next.target = start + elapsed + 250ms;
        next.deadline = start + elapsed + 600ms;
        return expected_wait(queue, next, start + elapsed);
    };
    CHECK(wait_after(0ms) > 40ms);
    CHECK(wait_after(45ms) < 25ms);
    CHECK(wait_after(150ms) > 100ms);
}

// Without the tail, work that waited behind many others ended late.
TEST_CASE("work ahead is expected with its tail", "[serving][queue]") {
    work_queue queue = open_queue(1);
    REQUIRE(only(offer(queue, work(1), start)) == work_decision::start);
    for (std::uint64_t id = 2; id <= 3; ++id) {
        offered_work waiting = work(id);
        waiting.spread = {0.2, 0.1, 11};
        CHECK(offer(queue, waiting, start).empty());
    }
    // 50 ms of the running work, twice 50 ms and as much for their tails.
    const duration wait = expected_wait(queue, work(4), start);
    CHECK(wait > 230ms);
    CHECK(wait < 270ms);
}

TEST_CASE(
    "the first of several slots becomes free sooner", "[serving][queue]"
) {
    work_queue queue = open_queue(8);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        offered_work running = work(id);
        running.spread = {1.0, 0, 1};
        REQUIRE(only(offer(queue, running, start)) == work_decision::start);
    }
    const duration certain = 50ms;
    CHECK(expected_wait(queue, work(9), start) < certain / 4);
}

TEST_CASE("work starts while slots are free", "[serving][queue]") {
    work_queue queue = open_queue(2);
    CHECK(only(offer(queue, work(1), start)) == work_decision::start);
    CHECK(only(offer(queue, work(2), start)) == work_decision::start);
    CHECK(offer(queue, work(3), start).empty());
    CHECK(
        only(finished(queue, work_id{1}, start + 10ms)) == work_decision::start
    );
}

TEST_CASE(
    "nested work starts before callers' work, urgent before the rest",
    "[serving][queue]"
) {
    work_queue queue = open_queue(1);
    static_cast<void>(offer(queue, work(1), start));
    CHECK(offer(queue, work(2, 2), start).empty());
    CHECK(offer(queue, work(3, 1), start).empty());
    CHECK(offer(queue, work(4, 2, true), start).empty());
    std::vector<std::uint64_t> order;
    for (std::uint64_t last = 1; order.size() < 3;) {
        const auto actions = finished(queue, work_id{last}, start + 1ms);
        REQUIRE(actions.size() == 1);
        last = actions.front().id.value;
        order.push_back(last);
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
}

TEST_CASE(
    "work that would end too late is refused at once, with a retry-after",
    "[serving][queue]"
) {
    work_queue queue = open_queue(1);
    static_cast<void>(offer(queue, work(1), start));
    std::uint64_t id = 1;
    std::vector<work_action> refused;
    while (refused.empty() && id < 50) {
        refused = offer(queue, work(++id), start);
    }
    CHECK(only(refused) == work_decision::refuse_busy);
    CHECK(refused.front().retry_after > 100ms);
    CHECK(queue.waiting.size() < 8);
}

TEST_CASE("a closed queue refuses waiting and new work", "[serving]") {
    work_queue queue = open_queue(1);
    static_cast<void>(offer(queue, work(1), start));
    static_cast<void>(offer(queue, work(2), start));
    CHECK(only(close(queue)) == work_decision::refuse_closed);
    CHECK(only(offer(queue, work(3), start)) == work_decision::refuse_closed);
    CHECK(queue.running.size() == 1);
}

TEST_CASE("no work is lost or started twice", "[serving][queue][property]") {
    rc::prop("any order of offers, ends and withdrawals", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        random_source random{seed};
        work_queue queue = open_queue(3);
        std::map<std::uint64_t, int> outcome;
        instant now = start;
        const auto take = [&](const std::vector<work_action>& actions) {
            for (const work_action& one : actions) {
                RC_ASSERT(++outcome[one.id.value] == 1);
            }
        };
        std::uint64_t offered = 0;
        for (int step = 0; step < 300; ++step) {
            now += duration{
                static_cast<duration::rep>(random_below(random, 20'000'000))};
            const auto choice = random_below(random, 3);
            if (choice == 0 && !queue.running.empty()) {
                take(finished(queue, queue.running.begin()->first, now));
            } else if (choice == 1 && !queue.positions.empty() && random_below(random, 4) == 0) {
                const work_id id = queue.positions.begin()->first;
                RC_ASSERT(withdraw(queue, id));
                ++outcome[id.value];
            } else {
                offered_work one = work(
                    ++offered,
                    static_cast<std::uint32_t>(random_below(random, 3))
                );
                one.target = now + 250ms;
                one.deadline = now + 600ms;
                take(offer(queue, one, now));
            }
            RC_ASSERT(queue.running.size() <= 3);
            RC_ASSERT(queue.positions.size() == queue.waiting.size());
        }
        RC_ASSERT(outcome.size() + queue.waiting.size() == offered);
    });
}

TEST_CASE(
    "at twice its capacity an instance spends its time on useful answers",
    "[serving][queue][overload]"
) {
    const overload fifo = run_overload(2.0, false);
    const overload shed = run_overload(2.0, true);
    INFO("useful " << fifo.useful << " first-in-first-out, " << shed.useful);
    CHECK(shed.useful > 0.45);
    CHECK(shed.useful > 5 * fifo.useful);
}

TEST_CASE(
    "callers that retry late don't make new callers late",
    "[serving][queue][overload]"
) {
    const double unrecognised = run_retrying(1.2, false);
    const double recognised = run_retrying(1.2, true);
    INFO("timely " << unrecognised << " if all count as new, " << recognised);
    CHECK(recognised > 0.75);
    CHECK(recognised > unrecognised * 1.2);
}

TEST_CASE("late work starts after timely work", "[serving][queue]") {
    work_queue queue = open_queue(1);
    static_cast<void>(offer(queue, work(1), start));
    offered_work late = work(2);
    late.target = start;
    CHECK(offer(queue, late, start).empty());
    CHECK(offer(queue, work(3), start).empty());
    const auto next = finished(queue, work_id{1}, start + 1ms);
    REQUIRE(next.size() == 1);
    CHECK(next.front().id == work_id{3});
}

TEST_CASE("suspected work runs alone", "[serving][queue]") {
    work_queue queue = open_queue(3);
    static_cast<void>(offer(queue, work(1), start));
    offered_work suspect = work(2);
    suspect.alone = true;
    CHECK(offer(queue, suspect, start).empty());
    CHECK(offer(queue, work(3), start).empty());
    const auto first = finished(queue, work_id{1}, start + 1ms);
    REQUIRE(first.size() == 1);
    CHECK(first.front().id == work_id{2});
    CHECK(offer(queue, work(4), start + 2ms).empty());
    CHECK(finished(queue, work_id{2}, start + 3ms).size() == 2);
}

TEST_CASE(
    "the least urgent work is served while urgent work fills the instance",
    "[serving][queue][overload]"
) {
    work_queue queue = open_queue(1);
    std::uint64_t id = 0;
    int urgent = 0;
    int least = 0;
    std::optional<work_id> running_id;
    std::set<work_id> least_urgent;
    const auto take = [&](const std::vector<work_action>& actions) {
        for (const work_action& one : actions) {
            if (one.decision != work_decision::start) {
                continue;
            }
            running_id = one.id;
            ++(least_urgent.contains(one.id) ? least : urgent);
        }
    };
    instant now = start;
    for (int step = 0; step < 400; ++step, now += 25ms) {
        // Offers twice what the instance can serve; one in five is of low
        // urgency.
        if (step % 2 == 0 && running_id) {
            const work_id ended = *running_id;
            running_id.reset();
            take(finished(queue, ended, now));
        }
        const bool is_least = step % 5 == 0;
        offered_work one = work(++id, is_least ? 9 : 1);
        one.target = now + (is_least ? 2500ms : 250ms);
        one.deadline = now + (is_least ? 4000ms : 600ms);
        if (is_least) {
            least_urgent.insert(one.id);
        }
        take(offer(queue, one, now));
    }
    CHECK(least > 10);
    CHECK(urgent > 3 * least);
}
