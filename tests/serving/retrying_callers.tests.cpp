// Guards against retrying callers that count as new ones: their requests are
// late already and would make timely ones late as well.

#include <apricotstile/serving/retrying_callers.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

} // namespace

TEST_CASE("a refused caller is recognised when it retries", "[serving]") {
    retrying_callers callers;
    note_refused(callers, {7, start + 5s, start});
    const instant back = start + 400ms;
    CHECK(take_first_attempt(callers, 7, start + 5s + 3ms, back) == start);
    // Each refusal matches one retry only.
    CHECK(take_first_attempt(callers, 7, start + 5s + 3ms, back) == back);
}

TEST_CASE("another caller with the same request is new", "[serving]") {
    retrying_callers callers;
    note_refused(callers, {7, start + 5s, start});
    const instant now = start + 400ms;
    CHECK(take_first_attempt(callers, 7, now + 5s, now) == now);
    CHECK(take_first_attempt(callers, 8, start + 5s, now) == now);
}

TEST_CASE("refused callers are forgotten at their deadline", "[serving]") {
    retrying_callers callers;
    note_refused(callers, {7, start + 5s, start});
    forget_expired(callers, start + 4s);
    CHECK(callers.refused_calls.size() == 1);
    forget_expired(callers, start + 6s);
    CHECK(callers.refused_calls.empty());
}
