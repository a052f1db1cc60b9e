// The load caller's draws, retries and judgement of answers.

#include <standins/caller/attempt.hpp>
#include <standins/caller/call_generator.hpp>
#include <standins/caller/retry_policy.hpp>
#include <standins/support/echoed_request.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

using namespace apricotstile;
using namespace apricotstile::standins;
using namespace std::chrono_literals;

namespace {

call_mix some_mix() {
    call_mix mix;
    mix.lookup_services = {{"registry", 3}, {"tariffs", 1}};
    mix.invoice_service = "invoicing";
    mix.customers = {{"hoorn", 1}, {"urk", 0}};
    return mix;
}

planned_call invoice() {
    return {"c1", "invoicing", "k", "hoorn", "POST", "key-c1", "body", {}, {}};
}

http::exchange_result answer(const std::string& outcome, std::string body) {
    http::exchange_result got;
    got.response.headers = {
        {"Apricotstile-Outcome", outcome},
        {"Apricotstile-Retry-After-Ms", "70"},
        {"Apricotstile-Ticket", "1.3.7.0"}};
    got.response.body = std::move(body);
    return got;
}

attempt failed(attempt_result result) {
    attempt made;
    made.result = result;
    return made;
}

} // namespace

TEST_CASE("the same seed draws the same calls", "[standins]") {
    call_generator one = make_call_generator(some_mix(), "a", 7);
    call_generator other = make_call_generator(some_mix(), "a", 7);
    for (int count = 0; count < 100; ++count) {
        const planned_call left = draw_call(one);
        const planned_call right = draw_call(other);
        REQUIRE(left.name == right.name);
        REQUIRE(left.key == right.key);
        REQUIRE(left.method == right.method);
        REQUIRE(draw_gap(one) == draw_gap(other));
    }
}

TEST_CASE("calls follow the mix and the skew", "[standins]") {
    call_generator generator = make_call_generator(some_mix(), "a", 7);
    std::map<std::string, int> keys;
    std::map<std::string, int> services;
    for (int count = 0; count < 5000; ++count) {
        const planned_call call = draw_call(generator);
        ++keys[call.key];
        ++services[call.service];
        REQUIRE(call.customer == "hoorn");
        REQUIRE(is_idempotent(call) == (call.service != "invoicing"));
    }
    REQUIRE(keys["berth-0"] > 5 * keys["berth-100"]);
    REQUIRE(services["registry"] > 2 * services["tariffs"]);
    REQUIRE(services["invoicing"] > 500);
}

TEST_CASE("an answer to another call is noticed", "[standins]") {
    const echoed_request right{
        "invoicing", "k", "hoorn", "c1", digest_of("body")};
    echoed_request wrong = right;
    wrong.call = "c2";
    attempt made;
    note_exchange(
        made, invoice(), answer("answered", answer_body(right, "u")), 1s
    );
    REQUIRE(made.right_answer);
    REQUIRE(made.retry_after == 70ms);
    REQUIRE(made.fresh_ticket == "1.3.7.0");
    note_exchange(
        made, invoice(), answer("answered", answer_body(wrong, "u")), 1s
    );
    REQUIRE_FALSE(made.right_answer);
}

TEST_CASE("an answer without an outcome is malformed", "[standins]") {
    attempt made;
    note_exchange(made, invoice(), answer("", "{}"), 1s);
    REQUIRE(made.result == attempt_result::malformed);
}

TEST_CASE("a silent connection and a closed one differ", "[standins]") {
    attempt made;
    made.done = made.sent + 1s;
    const http::exchange_result lost{http::exchange_failure::lost, {}};
    note_exchange(made, invoice(), lost, 1s);
    REQUIRE(made.result == attempt_result::timed_out);
    note_exchange(made, invoice(), lost, 2s);
    REQUIRE(made.result == attempt_result::connection_lost);
}

TEST_CASE("an attempt survives as a line", "[standins]") {
    attempt made = failed(attempt_result::not_run);
    made.call = "c1";
    made.refusal = "draining";
    made.due = instant{5us};
    const attempt read = parse_attempt(to_line(made));
    REQUIRE(to_line(read) == to_line(made));
}

TEST_CASE("calls are tried again with growing pauses", "[standins]") {
    const retry_policy policy;
    attempt made = failed(attempt_result::not_run);
    REQUIRE(pause_after(policy, made, made.due) == 25ms);
    made.number = 3;
    REQUIRE(pause_after(policy, made, made.due) == 100ms);
    made.retry_after = 3s;
    REQUIRE(pause_after(policy, made, made.due) == 3s);
    made.done = made.due + 6s;
    REQUIRE_FALSE(pause_after(policy, made, made.due));
}

TEST_CASE("answers and final refusals end a call", "[standins]") {
    const retry_policy policy;
    attempt made = failed(attempt_result::answered);
    REQUIRE_FALSE(pause_after(policy, made, made.due));
    made = failed(attempt_result::not_run);
    made.refusal = "not_allowed_by_plan";
    REQUIRE_FALSE(pause_after(policy, made, made.due));
    made = failed(attempt_result::unknown);
    REQUIRE(pause_after(policy, made, made.due));
    made.number = policy.most_attempts;
    REQUIRE_FALSE(pause_after(policy, made, made.due));
}
