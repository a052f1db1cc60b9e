// Guards against an upstream that is never used again after a quick restart.

#include <tests/http/event_loop.hpp>
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

TEST_CASE(
    "a deregistration of a run that starts in the far future binds no instance",
    "[router][odd]"
) {
    // Guards against another writer's deregistration that keeps an upstream
    // from being used until that time.
    daemon_group group{{"s"}};
    CHECK(group.request(0, "/s/before") == 200);
    constexpr std::int64_t far_future_ms = 253'402'300'799'999;
    CHECK_FALSE(group.send_deregistration(
        0, {group.upstream(0).run().id, far_future_ms}
    ));
    CHECK(group.request(0, "/s/after") == 200);
}

TEST_CASE(
    "a heartbeat that doesn't say which keys are held counts only where there "
    "are none",
    "[router][odd]"
) {
    // Guards against a heartbeat of another writer that counts as proof that
    // the upstream has released its keys.
    daemon_group group{{"s", "t"}, {{"s"}}};
    // The keys are granted some time after the daemons are ready.
    REQUIRE(wait_until([&] {
        return group.request(1, "/s/before") == 200;
    }));
    CHECK_FALSE(group.send_heartbeat_without_keys(0));
    CHECK(group.send_heartbeat_without_keys(1));
    CHECK(group.request(1, "/s/after") == 200);
}
