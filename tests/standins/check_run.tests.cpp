// Each broken promise, made on purpose, is counted by the checker.

#include <standins/check/broken_promises.hpp>
#include <standins/check/check_run.hpp>
#include <standins/check/observed_run.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::standins;
using namespace std::chrono_literals;

namespace {

/// A run of calls that are answered as they should be.
struct sound_run {
    observed_run run;

    sound_run() {
        run.keyed_services = {"registry"};
        run.plans = {{"hoorn", 3, 1}};
        for (int number = 0; number < 4; ++number) {
            this->add_call("c" + std::to_string(number), number * 1s);
        }
    }

    void add_call(const std::string& name, duration at) {
        attempt made;
        made.call = name;
        made.service = "registry";
        made.key = "k";
        made.customer = "hoorn";
        made.idempotency_key = "key-" + name;
        made.due = made.sent = instant{at};
        made.done = made.sent + 10ms;
        made.result = attempt_result::answered;
        made.status = 200;
        this->run.attempts.push_back(made);

        execution ran;
        ran.call = name;
        ran.caller_key = made.idempotency_key;
        ran.service = made.service;
        ran.key = made.key;
        ran.customer = made.customer;
        ran.upstream = "u1";
        ran.token = 7;
        ran.started = made.sent + 2ms;
        ran.ended = made.sent + 8ms;
        ran.end = execution_end::answered;
        this->run.executions.push_back(ran);
    }

    std::vector<std::string> broken() const {
        return broken_promises(check_run(this->run), {});
    }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("a sound run breaks no promise", "[standins]") {
    const sound_run sound;
    const run_report report = check_run(sound.run);
    REQUIRE(sound.broken().empty());
    REQUIRE(report.requests == 4);
    REQUIRE(report.answered == 4);
    REQUIRE(report.p50_ms == 10);
    REQUIRE(report.imbalance == 1);
    REQUIRE(report.keys_moved == 0);
}

TEST_CASE("an answer without an execution is lost work", "[standins]") {
    sound_run sound;
    sound.run.executions[1].end.reset();
    REQUIRE(sound.broken() == names{"lost"});
    sound.run.executions.pop_back();
    REQUIRE(check_run(sound.run).lost == 2);
}

TEST_CASE("an idempotency key that runs twice is doubled", "[standins]") {
    sound_run sound;
    sound.run.executions.push_back(sound.run.executions.back());
    REQUIRE(sound.broken() == names{"doubled"});
}

TEST_CASE("work that ran is not `not_run`", "[standins]") {
    sound_run sound;
    sound.run.attempts[2].result = attempt_result::not_run;
    REQUIRE(sound.broken() == names{"not_run_but_ran"});

    // A later attempt that may have run explains a later execution only.
    attempt again = sound.run.attempts[2];
    again.number = 2;
    again.result = attempt_result::answered;
    again.sent += 1ms;
    sound.run.attempts.push_back(again);
    REQUIRE(sound.broken().empty());
    sound.run.attempts.back().sent += 5ms;
    REQUIRE(sound.broken() == names{"not_run_but_ran"});
}

TEST_CASE("executions beyond the plan are counted", "[standins]") {
    sound_run sound;
    sound.add_call("e1", 3001ms);
    sound.add_call("e2", 3002ms);
    sound.add_call("e3", 3003ms);
    REQUIRE(sound.broken().empty());
    sound.add_call("e4", 3004ms);
    REQUIRE(sound.broken() == names{"over_plan"});
}

TEST_CASE("wrong answers are counted", "[standins]") {
    sound_run sound;
    sound.run.attempts[0].right_answer = false;
    REQUIRE(sound.broken() == names{"wrong_answer"});
}

TEST_CASE("exchanges that break off are cuts unless expected", "[standins]") {
    sound_run sound;
    sound.run.attempts[0].result = attempt_result::connection_lost;
    REQUIRE(sound.broken() == names{"cut_in_flight"});
    const run_report report = check_run(sound.run);
    REQUIRE(broken_promises(report, {true, {}}).empty());
    REQUIRE(report.unknown == 1);
}

TEST_CASE("a passed deadline is no cut", "[standins]") {
    sound_run sound;
    sound.run.attempts[0].result = attempt_result::unknown;
    sound.run.attempts[0].refusal = "deadline_passed";
    REQUIRE(sound.broken().empty());
    sound.run.attempts[0].refusal = "link_lost";
    REQUIRE(sound.broken() == names{"cut_in_flight"});
}

TEST_CASE("an older token after a newer one is noticed", "[standins]") {
    sound_run sound;
    sound.run.executions[1].token = 8;
    sound.run.executions[1].upstream = "u2";
    REQUIRE(sound.broken() == names{"stale_token"});
    REQUIRE(check_run(sound.run).keys_moved == 2);
}

TEST_CASE("owners that overlap are noticed", "[standins]") {
    sound_run sound;
    sound.run.executions[3].token = 8;
    REQUIRE(sound.broken().empty());
    sound.run.executions[2].ended = sound.run.executions[3].started + 1us;
    REQUIRE(sound.broken() == names{"two_owners"});
}

TEST_CASE("unavailable time lasts until the next answer", "[standins]") {
    sound_run sound;
    for (const std::size_t number : {1, 2}) {
        sound.run.attempts[number].result = attempt_result::timed_out;
    }
    // From the first vain attempt at 1 s to the answer at 3.01 s.
    const run_report report = check_run(sound.run);
    REQUIRE(report.max_unavailable_ms == 2010);
    REQUIRE(
        broken_promises(report, {true, 2000}) == names{"max_unavailable_ms"}
    );
    REQUIRE(broken_promises(report, {true, 2010}).empty());
}

TEST_CASE("being over plan is not being unavailable", "[standins]") {
    sound_run sound;
    for (const std::size_t number : {1, 2}) {
        sound.run.attempts[number].result = attempt_result::not_run;
        sound.run.attempts[number].refusal = "over_plan";
    }
    REQUIRE(check_run(sound.run).max_unavailable_ms == 10);
}

TEST_CASE("a lost daemon is not an unavailable key", "[standins]") {
    sound_run sound;
    for (const std::size_t number : {1, 2}) {
        sound.run.attempts[number].result = attempt_result::timed_out;
        sound.run.attempts[number].daemon = "d1";
    }
    REQUIRE(check_run(sound.run).max_unavailable_ms == 2010);
    sound.run.faulted = {"d1"};
    REQUIRE(check_run(sound.run).max_unavailable_ms == 10);
}

TEST_CASE("imbalance leaves out upstreams with a fault", "[standins]") {
    sound_run sound;
    sound.run.executions[0].upstream = "u2";
    REQUIRE(check_run(sound.run).imbalance == 1.5);
    sound.run.faulted = {"u2"};
    REQUIRE(check_run(sound.run).imbalance == 1);
}

TEST_CASE("a plan is read from a flag", "[standins]") {
    const promised_plan plan = parse_promised_plan("hoorn=30+5");
    REQUIRE(plan.customer == "hoorn");
    REQUIRE(plan.per_second == 30);
    REQUIRE(plan.burst == 5);
    REQUIRE_THROWS(parse_promised_plan("hoorn=30"));
    REQUIRE_THROWS(parse_promised_plan("hoorn=a+5"));
}
