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

TEST_CASE(
    "a heartbeat of a run that starts in the far future displaces no instance",
    "[router][odd]"
) {
    daemon_group group{{"s"}};
    CHECK(group.request(0, "/s/before") == 200);
    // The end of the year 9999.
    constexpr std::int64_t far_future_ms = 253'402'300'799'999;
    CHECK_FALSE(group.send_heartbeat_of_run(0, {"i-odd", far_future_ms}));
    group.upstream(0).crash();
    group.restart_crashed_upstreams();
    CHECK(group.request(0, "/s/after") == 200);
}
