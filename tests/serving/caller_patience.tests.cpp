// What callers say of their deadlines tells first attempts from later ones.

#include <apricotstile/serving/caller_patience.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

TEST_CASE("a caller that has waited before is known", "[serving][patience]") {
    caller_patience patience;
    for (int i = 0; i < 100; ++i) {
        note_patience(patience, 5000ms);
        // Callers that come back say something else each time.
        note_patience(patience, 5000ms - 7ms * (i % 83 + 40));
    }
    CHECK(time_since_first_attempt(patience, 5000ms) == 0ms);
    CHECK(time_since_first_attempt(patience, 4200ms) == 800ms);
    CHECK(time_since_first_attempt(patience, 9000ms) == 0ms);
}

TEST_CASE("nothing is known while no time is usual", "[serving][patience]") {
    caller_patience patience;
    CHECK(time_since_first_attempt(patience, 100ms) == 0ms);
    for (int i = 0; i < 300; ++i) {
        note_patience(patience, 1ms * (i * 13 % 997));
    }
    CHECK(time_since_first_attempt(patience, 100ms) == 0ms);
}

TEST_CASE("a few patient callers don't make the rest late", "[serving]") {
    caller_patience patience;
    for (int i = 0; i < 300; ++i) {
        note_patience(patience, i % 20 == 0 ? 9000ms : 3000ms);
    }
    CHECK(time_since_first_attempt(patience, 3000ms) == 0ms);
}

TEST_CASE("a changed habit is learned", "[serving][patience]") {
    caller_patience patience;
    for (int i = 0; i < 400; ++i) {
        note_patience(patience, 5000ms);
    }
    for (int i = 0; i < 1000; ++i) {
        note_patience(patience, 3000ms);
    }
    CHECK(time_since_first_attempt(patience, 3000ms) == 0ms);
}

TEST_CASE("requests that end with their parents are nested", "[serving]") {
    caller_patience callers;
    caller_patience nested;
    CHECK_FALSE(is_nested(nested));
    for (int i = 0; i < 500; ++i) {
        note_patience(callers, i % 3 == 0 ? 600ms : 1ms * (i * 7 % 599));
        note_patience(nested, 1ms * (400 + i * 31 % 199));
    }
    CHECK(is_nested(nested));
    CHECK_FALSE(is_nested(callers));
    // Callers stay callers, however many of them come back.
    for (int i = 0; i < 900; ++i) {
        note_patience(callers, 1ms * (i * 7 % 599));
    }
    CHECK_FALSE(is_nested(callers));
}
