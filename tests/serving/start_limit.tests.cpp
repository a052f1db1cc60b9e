// Guards against an instance that gets more work than it accepts a second, and
// against work that waits for the limit and is never started or refused.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/work_queue.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
constexpr duration window = 4s;

offered_work work(std::uint64_t id, instant now, std::uint32_t priority = 1) {
    return {work_id{id}, false, priority, now + 500ms, now + 3s, 100ms};
}

work_queue limited_queue(double per_second) {
    work_queue queue;
    queue.policy.slots = 8;
    queue.open = true;
    queue.has_answered = true;
    std::ignore = set_start_limit(queue, per_second, start);
    return queue;
}

/// An instance behind a queue; a limit may begin, change and end.
struct model {
    work_queue queue;
    instant now{start};
    std::uint64_t last_id{0};
    std::set<work_id> undecided;
    std::multimap<instant, work_id> ends;
    std::deque<instant> starts;
    /// The highest limit and since when there has been one without a break.
    double highest_limit{0};
    instant limited_since{instant::max()};
    violation broken;
};

void note_actions(model& it, const std::vector<work_action>& actions) {
    for (const work_action& one : actions) {
        if (it.undecided.erase(one.id) == 0) {
            it.broken = "decided twice";
        }
        if (one.decision == work_decision::start) {
            it.starts.push_back(it.now);
            it.ends.emplace(it.now + 100ms, one.id);
        }
    }
    // The limit counts from one window after it was named.
    if (it.now < it.limited_since || it.now - it.limited_since < window) {
        return;
    }
    const auto recent =
        std::count_if(it.starts.begin(), it.starts.end(), [&](instant one) {
            return it.now - one < window;
        });
    const double allowed = 1.5 * 4 * std::max(it.highest_limit, 0.25) + 5;
    if (static_cast<double>(recent) > allowed) {
        it.broken = "more than the limit";
    }
}

/// Lets time pass to `end`, with all that is due before.
void pass_until(model& it, instant end) {
    while (true) {
        const auto due = next_start(it.queue, it.now);
        if (due && *due <= it.now) {
            it.broken = "a start is due now, but didn't happen";
            return;
        }
        instant next = end;
        next = due ? std::min(next, *due) : next;
        next = it.ends.empty() ? next : std::min(next, it.ends.begin()->first);
        it.now = next;
        if (!it.ends.empty() && it.ends.begin()->first <= it.now) {
            const work_id ended = it.ends.begin()->second;
            it.ends.erase(it.ends.begin());
            note_actions(it, finished(it.queue, ended, it.now));
        } else if (due && *due <= it.now) {
            note_actions(it, start_due(it.queue, it.now));
        } else {
            return;
        }
    }
}

void change_limit(model& it, std::uint32_t choice) {
    constexpr std::array<double, 6> limits{0, 0.1, 1, 5, 20, 80};
    if (choice >= limits.size()) {
        it.limited_since = instant::max();
        it.highest_limit = 0;
        note_actions(it, set_start_limit(it.queue, std::nullopt, it.now));
        return;
    }
    if (it.limited_since == instant::max()) {
        it.limited_since = it.now;
    }
    it.highest_limit = std::max(it.highest_limit, limits.at(choice));
    note_actions(it, set_start_limit(it.queue, limits.at(choice), it.now));
}

violation run(const schedule& moves) {
    model it;
    it.queue.policy.slots = 8;
    it.queue.open = true;
    it.queue.has_answered = true;
    for (const std::uint32_t number : moves) {
        move_reader move{number};
        const std::uint32_t kind = move.below(40);
        if (kind == 0) {
            change_limit(it, move.below(8));
        } else if (kind < 24) {
            const offered_work one = work(++it.last_id, it.now, move.below(3));
            it.undecided.insert(one.id);
            note_actions(it, offer(it.queue, one, it.now));
        } else {
            pass_until(it, it.now + 5ms * move.below(100));
        }
        if (it.broken) {
            return it.broken;
        }
    }
    // Enough for all waiting work at the lowest rate.
    pass_until(it, it.now + 30min);
    if (!it.broken && !it.undecided.empty()) {
        return "work was neither started nor refused";
    }
    return it.broken;
}

} // namespace

TEST_CASE("an instance gets no more work than it accepts", "[serving][limit]") {
    rc::prop("for random work and limits", [] {
        RC_ASSERT(run(*any_schedule()) == violation{});
    });
    REQUIRE(cases_until_violation(run, 2000) == 2001);
}

TEST_CASE("urgent work goes first at a limited instance", "[serving][limit]") {
    work_queue queue = limited_queue(10);
    CHECK(offer(queue, work(1, start, 2), start).empty());
    CHECK(offer(queue, work(2, start, 1), start).empty());
    const instant due = next_start(queue, start).value();
    CHECK(due == start + 100ms);
    const auto actions = start_due(queue, due);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().id == work_id{2});
}

TEST_CASE(
    "work above the limit is refused at once and asked to return at different "
    "times",
    "[serving][limit]"
) {
    work_queue queue = limited_queue(10);
    std::set<duration> delays;
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        for (const work_action& one : offer(queue, work(id, start), start)) {
            CHECK(one.decision == work_decision::refuse_busy);
            delays.insert(one.retry_after);
            ++refused;
        }
    }
    CHECK(refused > 90);
    CHECK(delays.size() == refused);
}

TEST_CASE(
    "an instance that accepts nothing still gets a request from time to time",
    "[serving][limit]"
) {
    work_queue queue = limited_queue(0);
    offered_work one = work(1, start);
    one.target = start + 60s;
    one.deadline = start + 60s;
    CHECK(offer(queue, one, start).empty());
    CHECK(start_due(queue, start + 3900ms).empty());
    CHECK(start_due(queue, start + 4s).size() == 1);
}

TEST_CASE("a limited instance has fewer usable slots", "[serving][limit]") {
    CHECK(usable_slots(limited_queue(10), 100ms) == Approx(1));
    CHECK(usable_slots(limited_queue(10), 2s) == Approx(8));
    CHECK(usable_slots(work_queue{}, 2s) == Approx(1));
}

TEST_CASE(
    "an instance that has answered nothing gets few requests at a time",
    "[serving][limit]"
) {
    work_queue queue;
    queue.policy.slots = 8;
    queue.open = true;
    std::size_t started = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        started += offer(queue, work(id, start), start).size();
    }
    CHECK(started == queue.policy.first_slots);
    CHECK(note_first_answer(queue, start + 1ms).size() == 4);
}
