// Guards against an upstream that is never used again after a quick restart.

#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::tests;

TEST_CASE(
    "an upstream that restarts before its daemon misses heartbeats gets "
    "requests again",
    "[router][instance]"
) {
    daemon_group group{{"s", "t"}};
    REQUIRE(group.request(1, "/s/1") == 200);
    group.upstream(0).crash();
    group.restart_crashed_upstreams();
    CHECK(group.request(1, "/s/2") == 200);
}
