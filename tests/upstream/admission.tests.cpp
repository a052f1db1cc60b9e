// Admission control must not exceed the upstream's limits, start requests after
// their deadline or during a drain, starve a work class, or leave a request
// without a result. Random schedules of offers, ends, cancellations and waits
// look for an order of events that breaks one of these.

#include <apricotstile/upstream/admission.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;
using apricotstile::request::refusal;
using apricotstile::request::work_class;
using apricotstile::request::work_class_count;

namespace {

struct offered {
    offered_work work;
    bool while_draining{false};
    int ends{0};
};

struct model {
    admission state;
    instant now{1h};
    std::uint64_t last_id{0};
    std::map<work_id, offered> all;
    std::set<work_id> running;
    /// For each class: consecutive starts of other classes while it had queued
    /// requests.
    std::array<std::uint32_t, work_class_count> skipped_starts{};
    violation broken;
};

void expect(model& it, bool holds, const char* what) {
    if (!holds && !it.broken) {
        it.broken = what;
    }
}

bool waits(const model& it, std::size_t index) {
    return !it.state.queues.at(index).empty();
}

void check_start(model& it, work_id id) {
    const offered& one = it.all.at(id);
    expect(
        it, it.now < one.work.deadline, "started a request after its deadline"
    );
    expect(
        it,
        !one.while_draining,
        "started a request that was offered during a drain"
    );
    expect(it, one.ends == 0, "started a request that was already shed");
    expect(
        it,
        !one.work.alone || it.running.empty(),
        "a request that must run alone started beside others"
    );
    it.running.insert(id);
    const auto chosen = static_cast<std::size_t>(one.work.priority);
    for (std::size_t i = 0; i < work_class_count; ++i) {
        const bool passed = i != chosen && waits(it, i);
        it.skipped_starts.at(i) = passed ? it.skipped_starts.at(i) + 1 : 0;
        const std::uint32_t max_skips =
            it.state.policy.max_skipped_starts + work_class_count;
        expect(
            it, it.skipped_starts.at(i) <= max_skips, "a work class is starved"
        );
    }
}

void take(model& it, const admission_actions& actions) {
    for (const admission_action& action : actions) {
        if (const auto* started = std::get_if<start_work>(&action)) {
            check_start(it, started->id);
        } else if (const auto* shed = std::get_if<shed_work>(&action)) {
            expect(
                it, !it.running.contains(shed->id), "shed a running request"
            );
            ++it.all.at(shed->id).ends;
        }
    }
    const std::size_t used = it.running.size() + it.state.abandoned.size();
    expect(
        it, used <= it.state.policy.slots, "more requests in use than slots"
    );
    for (const auto& queue : it.state.queues) {
        expect(
            it,
            queue.size() <= it.state.policy.max_queued,
            "a queue exceeds its maximum"
        );
    }
}

void offer_one(model& it, move_reader& move) {
    offered one;
    one.work.id.value = ++it.last_id;
    one.work.priority = static_cast<work_class>(move.below(3));
    one.work.deadline = it.now + 1ms * move.below(100);
    one.work.alone = move.below(16) == 0;
    one.while_draining = it.state.draining;
    it.all[one.work.id] = one;
    take(it, offer(it.state, one.work, it.now));
}

void finish_one(model& it, move_reader& move) {
    if (it.running.empty()) {
        return;
    }
    auto chosen = it.running.begin();
    const auto count = static_cast<std::uint32_t>(it.running.size());
    std::advance(chosen, move.below(count));
    const work_id id = *chosen;
    it.running.erase(chosen);
    ++it.all.at(id).ends;
    const auto how = static_cast<work_end>(move.below(4));
    take(it, finished(it.state, id, how, it.now));
}

void move_once(model& it, std::uint32_t number) {
    move_reader move{number};
    const std::uint32_t kind = move.below(16);
    if (kind < 8) {
        offer_one(it, move);
    } else if (kind < 13) {
        finish_one(it, move);
    } else if (kind == 13) {
        take(it, cancel(it.state, {move.below(64)}, it.now));
    } else if (kind == 14 && move.below(16) == 0) {
        start_drain(it.state);
    } else {
        it.now += 1ms * move.below(20);
        take(it, start_next(it.state, it.now));
        expect(
            it,
            next_wake_up(it.state) > it.now,
            "the next wake-up is not in the future"
        );
    }
}

/// Drains: ends all running requests, then checks that none is left.
void settle(model& it) {
    start_drain(it.state);
    while (!it.running.empty()) {
        move_reader first{0};
        finish_one(it, first);
    }
    it.now += 1h;
    take(it, start_next(it.state, it.now));
    expect(it, is_idle(it.state), "requests are left after the drain");
    for (const auto& [id, one] : it.all) {
        expect(it, one.ends == 1, "a request did not end exactly once");
    }
}

admission_policy small_policy() {
    admission_policy policy;
    policy.slots = 3;
    policy.max_queued = 8;
    policy.max_skipped_starts = 4;
    policy.warm_up = 0ns;
    return policy;
}

violation run(const schedule& moves, const admission_policy& policy) {
    model it;
    it.state = make_admission(policy, it.now);
    for (const std::uint32_t number : moves) {
        move_once(it, number);
        if (it.broken) {
            return it.broken;
        }
    }
    settle(it);
    return it.broken;
}

int cases_to_catch(admission_faults faults) {
    admission_policy policy = small_policy();
    policy.faults = faults;
    constexpr int limit = 20000;
    const int cases = cases_until_violation(
        [&](const schedule& moves) {
            return run(moves, policy);
        },
        limit
    );
    REQUIRE(cases <= limit);
    return cases;
}

offered_work work(std::uint64_t id, work_class priority, instant deadline) {
    return {{id}, priority, deadline, false};
}

} // namespace

TEST_CASE(
    "admission control keeps its limits under any schedule", "[admission]"
) {
    rc::prop("for random offers, ends and waits", [] {
        RC_ASSERT(run(*any_schedule(), small_policy()) == violation{});
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, small_policy());
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
}

TEST_CASE("each injected admission fault is detected", "[admission][faults]") {
    admission_faults late;
    late.skips_deadline_check = true;
    WARN("skipped deadline check detected in case " << cases_to_catch(late));
    admission_faults slots;
    slots.ignores_slots = true;
    WARN("ignored slots detected in case " << cases_to_catch(slots));
    admission_faults drain;
    drain.starts_while_draining = true;
    WARN("start while draining detected in case " << cases_to_catch(drain));
    admission_faults starvation;
    starvation.starves_lower_classes = true;
    WARN("starvation detected in case " << cases_to_catch(starvation));
}

TEST_CASE(
    "a critical request starts before queued requests of lower classes",
    "[admission]"
) {
    admission_policy policy = small_policy();
    policy.slots = 1;
    const instant now{1h};
    admission state = make_admission(policy, now);
    const instant deadline = now + 1s;
    std::ignore = offer(state, work(1, work_class::normal, deadline), now);
    std::ignore = offer(state, work(2, work_class::background, deadline), now);
    std::ignore = offer(state, work(3, work_class::critical, deadline), now);
    const auto actions = finished(state, {1}, work_end::answered, now);
    REQUIRE(std::get<start_work>(actions.front()).id == work_id{3});
}

TEST_CASE("a restarted upstream is given its slots gradually", "[admission]") {
    admission_policy policy;
    const instant now{1h};
    const admission state = make_admission(policy, now);
    REQUIRE(describe(state, now).allowed == policy.slots / 4);
    REQUIRE(describe(state, now + policy.warm_up).allowed == policy.slots);
}

TEST_CASE(
    "a request that can't meet its deadline is shed at once", "[admission]"
) {
    admission_policy policy = small_policy();
    policy.slots = 1;
    const instant now{1h};
    admission state = make_admission(policy, now);
    state.limit.mean_service_time = 40ms;
    std::ignore = offer(state, work(1, work_class::normal, now + 1s), now);
    const auto refused =
        offer(state, work(2, work_class::critical, now + 60ms), now);
    REQUIRE(
        std::get<shed_work>(refused.front()).refusal == refusal::overloaded
    );
}
