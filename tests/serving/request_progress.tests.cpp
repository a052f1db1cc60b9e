// Guards against a request that runs twice though it isn't idempotent, and
// against one that is answered as not run though it may have run. Both come
// from a wrong step after an attempt.

#include <apricotstile/serving/request_progress.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

request_progress request(bool idempotent, bool keyed = false) {
    request_progress result;
    result.idempotent = idempotent;
    result.keyed = keyed;
    result.max_instances = 2;
    result.arrived = start;
    result.target = start + 250ms;
    result.deadline = start + 600ms;
    return result;
}

next_step
step(request_progress& state, attempt_outcome outcome, bool failed = false) {
    attempt_result end;
    end.outcome = outcome;
    end.failed = failed;
    return next_step_after(state, end, {}, start + 10ms, [] {
        return true;
    });
}

} // namespace

TEST_CASE("an answer is passed on", "[serving][progress]") {
    request_progress state = request(false);
    CHECK(step(state, attempt_outcome::answered) == next_step::deliver);
}

TEST_CASE(
    "a request that a region isn't allowed to serve goes elsewhere or is "
    "rejected at once",
    "[serving][regions]"
) {
    request_progress state = request(false);
    CHECK(step(state, attempt_outcome::refused_region) == next_step::retry_now);
    CHECK_FALSE(state.may_have_run);
    // The key's owner is the only instance.
    state = request(true, true);
    CHECK(step(state, attempt_outcome::refused_region) == next_step::refuse);
    CHECK(state.retry_after >= retry_policy{}.region_retry_after);
}

TEST_CASE(
    "a request that isn't idempotent isn't sent again once it may have run",
    "[serving]"
) {
    request_progress state = request(false);
    CHECK(step(state, attempt_outcome::lost) == next_step::fail);
    state = request(false);
    CHECK(step(state, attempt_outcome::answered, true) == next_step::deliver);
    state = request(false);
    CHECK(step(state, attempt_outcome::not_executed) == next_step::retry_now);
}

TEST_CASE(
    "an idempotent request is retried within budget and instances",
    "[serving][progress]"
) {
    request_progress state = request(true);
    CHECK(step(state, attempt_outcome::lost) == next_step::retry_now);
    CHECK(step(state, attempt_outcome::lost) == next_step::fail);
    state = request(true);
    const attempt_result lost{attempt_outcome::lost, {}, false, {}};
    CHECK(next_step_after(state, lost, {}, start, [] {
              return false;
          }) == next_step::fail);
}

TEST_CASE("a request that a key's owner failed isn't retried", "[serving]") {
    request_progress state = request(true, true);
    CHECK(step(state, attempt_outcome::answered, true) == next_step::deliver);
}

TEST_CASE("a request waits while its key moves", "[serving]") {
    request_progress state = request(true, true);
    CHECK(
        step(state, attempt_outcome::refused_not_owner) ==
        next_step::retry_later
    );
    CHECK(step(state, attempt_outcome::refused_busy) == next_step::refuse);
}

TEST_CASE(
    "a request that may have run is never answered as not run",
    "[serving][property]"
) {
    rc::prop("any outcomes of attempts", [] {
        request_progress state =
            request(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
        bool ran = false;
        int sent = 0;
        for (int i = 0; i < 8; ++i) {
            const auto outcome =
                static_cast<attempt_outcome>(*rc::gen::inRange(0, 9));
            const bool was_sent = outcome == attempt_outcome::answered ||
                                  outcome == attempt_outcome::lost ||
                                  outcome == attempt_outcome::timed_out;
            sent += was_sent || outcome == attempt_outcome::not_executed;
            const bool again_after_run = ran && was_sent;
            RC_ASSERT(state.idempotent || !again_after_run);
            ran = ran || was_sent;
            const next_step next =
                step(state, outcome, *rc::gen::arbitrary<bool>());
            if (next == next_step::refuse) {
                RC_ASSERT(!ran);
            }
            if (next != next_step::retry_now &&
                next != next_step::retry_later) {
                return;
            }
        }
        RC_ASSERT(sent <= 2);
    });
}

TEST_CASE(
    "only an idempotent request without a key is sent to another host while "
    "its own is unresponsive",
    "[serving][progress]"
) {
    request_progress state = request(true);
    CHECK(may_try_another_instance(state, {}, start));
    CHECK_FALSE(may_try_another_instance(state, {}, state.deadline));
    note_unresponsive(state);
    CHECK_FALSE(may_try_another_instance(state, {}, start));
    CHECK(state.may_have_run);
    CHECK_FALSE(may_try_another_instance(request(false), {}, start));
    CHECK_FALSE(may_try_another_instance(request(true, true), {}, start));
}

TEST_CASE(
    "a caller isn't held past its deadline while its key moves",
    "[serving][progress]"
) {
    const retry_policy policy;
    attempt_result moved;
    moved.outcome = attempt_outcome::refused_not_owner;
    const auto allowed = [] {
        return true;
    };
    request_progress state = request(true, true);
    CHECK(
        next_step_after(state, moved, policy, start, allowed) ==
        next_step::retry_later
    );
    state.deadline = start + policy.key_move_retry_interval * 2;
    CHECK(
        next_step_after(state, moved, policy, start, allowed) ==
        next_step::refuse
    );
    CHECK(state.retry_after >= policy.key_move_retry_after);
}
