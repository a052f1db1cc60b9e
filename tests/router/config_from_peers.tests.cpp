// Guards against a daemon that goes on with an old configuration although its
// peers have a newer one.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::tests;

TEST_CASE(
    "a daemon without news from the store takes its peers' newer configuration",
    "[router][config]"
) {
    daemon_group group{{"s", "t"}};
    group.apply_config(0, 2);
    const bool asks = GENERATE(true, false);
    REQUIRE(wait_until([&] {
        // Either side may be the one that has the news.
        static_cast<void>(
            asks ? group.request(1, "/s/1") : group.request(0, "/t/1")
        );
        return group.describe(1)["config"]["version"] == 2;
    }));
}

TEST_CASE(
    "a daemon that knows of a newer configuration refuses no route as unknown",
    "[router][config]"
) {
    daemon_group group{{"s", "t"}};
    CHECK(group.request(1, "/unknown/1") == 404);
    group.apply_config(0, 2);
    static_cast<void>(group.request(1, "/s/1"));
    const bool is_old = group.describe(1)["config"]["version"] == 1;
    const int status = group.request(1, "/unknown/1");
    CHECK((status == 503 || !is_old));
}
