// An upstream gets no more than it can take, nothing late, the important work
// first, and nothing is left without an end.

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
    /// Starts in a row of other classes while each class waited.
    std::array<std::uint32_t, work_class_count> passed_over{};
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
    expect(it, it.now < one.work.deadline, "started after its deadline");
    expect(it, !one.while_draining, "started after the drain began");
    expect(it, one.ends == 0, "started after it was shed");
    expect(it, !one.work.alone || it.running.empty(), "not alone");
    it.running.insert(id);
    const auto chosen = static_cast<std::size_t>(one.work.importance);
    for (std::size_t i = 0; i < work_class_count; ++i) {
        const bool passed = i != chosen && waits(it, i);
        it.passed_over.at(i) = passed ? it.passed_over.at(i) + 1 : 0;
        const std::uint32_t most =
            it.state.policy.starts_per_lower_class + work_class_count;
        expect(it, it.passed_over.at(i) <= most, "a class is starved");
    }
}

void take(model& it, const admission_actions& actions) {
    for (const admission_action& action : actions) {
        if (const auto* started = std::get_if<start_work>(&action)) {
            check_start(it, started->id);
        } else if (const auto* shed = std::get_if<shed_work>(&action)) {
            expect(it, !it.running.contains(shed->id), "shed what runs");
            ++it.all.at(shed->id).ends;
        }
    }
    const std::size_t used = it.running.size() + it.state.given_up.size();
    expect(it, used <= it.state.policy.slots, "too many at once");
    for (const auto& queue : it.state.queues) {
        expect(
            it, queue.size() <= it.state.policy.max_queued, "queue too long"
        );
    }
}

void offer_one(model& it, move_reader& move) {
    offered one;
    one.work.id.value = ++it.last_id;
    one.work.importance = static_cast<work_class>(move.below(3));
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
        take(it, next(it.state, it.now));
        expect(it, next_wake_up(it.state) > it.now, "overdue");
    }
}

/// Lets everything that runs end; then nothing may be left.
void settle(model& it) {
    start_drain(it.state);
    while (!it.running.empty()) {
        move_reader first{0};
        finish_one(it, first);
    }
    it.now += 1h;
    take(it, next(it.state, it.now));
    expect(it, is_idle(it.state), "work is left over");
    for (const auto& [id, one] : it.all) {
        expect(it, one.ends == 1, "not exactly one end");
    }
}

admission_policy small_policy() {
    admission_policy policy;
    policy.slots = 3;
    policy.max_queued = 8;
    policy.starts_per_lower_class = 4;
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

offered_work work(std::uint64_t id, work_class importance, instant deadline) {
    return {{id}, importance, deadline, false};
}

} // namespace

TEST_CASE("work for an upstream keeps every bound", "[admission]") {
    rc::prop("under any schedule of offers and ends", [] {
        RC_ASSERT(run(*any_schedule(), small_policy()) == violation{});
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, small_policy());
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
}

TEST_CASE("each mistake in admission is caught", "[admission][faults]") {
    admission_faults late;
    late.skips_deadline_check = true;
    WARN("skips the deadline check: case " << cases_to_catch(late));
    admission_faults slots;
    slots.ignores_slots = true;
    WARN("ignores the slots: case " << cases_to_catch(slots));
    admission_faults drain;
    drain.starts_while_draining = true;
    WARN("starts while draining: case " << cases_to_catch(drain));
    admission_faults starves;
    starves.never_lets_lower_classes_through = true;
    WARN("starves lower classes: case " << cases_to_catch(starves));
}

TEST_CASE("important work overtakes what waits", "[admission]") {
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

TEST_CASE("a cold upstream is given its slots by and by", "[admission]") {
    admission_policy policy;
    const instant now{1h};
    const admission state = make_admission(policy, now);
    REQUIRE(describe(state, now).allowed == policy.slots / 4);
    REQUIRE(describe(state, now + policy.warm_up).allowed == policy.slots);
}

TEST_CASE("what can't be served in time is refused at once", "[admission]") {
    admission_policy policy = small_policy();
    policy.slots = 1;
    const instant now{1h};
    admission state = make_admission(policy, now);
    state.limit.mean_service = 40ms;
    std::ignore = offer(state, work(1, work_class::normal, now + 1s), now);
    const auto refused =
        offer(state, work(2, work_class::critical, now + 60ms), now);
    REQUIRE(
        std::get<shed_work>(refused.front()).refusal == refusal::overloaded
    );
}
