// Guards against an upstream that gets more requests than its rate limit
// states in its answers, from all daemons together.

#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::tests;

TEST_CASE(
    "an upstream gets no more requests than its rate limit", "[router][limit]"
) {
    daemon_group group{{"s", "t"}};
    group.upstream(0).set_extra_headers({{"Server-Limit", "0.5"}});
    for (int i = 0; i < 60; ++i) {
        static_cast<void>(group.request(0, "/s/1"));
        static_cast<void>(group.request(1, "/s/1"));
    }
    // Half a request a second: more than these would take longer than the
    // test's time limit.
    CHECK(group.runs_of("/s/1") < 30);
}

TEST_CASE(
    "requests above an upstream's limit go to another upstream",
    "[router][limit]"
) {
    daemon_group group{{"s", "s"}};
    group.upstream(0).set_extra_headers({{"Server-Limit", "0.5"}});
    int answered = 0;
    for (int i = 0; i < 60; ++i) {
        answered += group.request(0, "/s/1") == 200 ? 1 : 0;
    }
    CHECK(group.upstream(0).requests().size() < 30);
    CHECK(answered == 60);
}
