// Guards against an upstream that gets more requests than it tolerates while it
// is cold, from all daemons together, or right after a restart that its daemon
// hasn't heard of. Rates are so low that no token becomes due within a test.

#include <tests/router/daemon_group.hpp>

#include <tests/http/event_loop.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

/// With the group's bounds of 1 and 4: at most 4 requests in any second.
constexpr double cold_per_second = 0.01;

daemon_group_options cold_options() {
    daemon_group_options options;
    options.cold_per_second = cold_per_second;
    return options;
}

void wait_for_cold(const daemon_group& group, std::size_t index, bool cold) {
    REQUIRE(wait_until([&] {
        return group.describe(index)["instance"]["cold"] == cold;
    }));
}

} // namespace

TEST_CASE(
    "a cold upstream gets no more requests than it tolerates, from all daemons",
    "[router][cold]"
) {
    daemon_group group{{"s", "t"}, cold_options()};
    group.set_cold_time(0, 60s);
    wait_for_cold(group, 0, true);
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(group.request(0, "/s/1"));
        static_cast<void>(group.request(1, "/s/1"));
    }
    CHECK(group.runs_of("/s/1") <= 4);
    CHECK(group.describe(0)["instance"]["cold_refused"] > 50);
}

TEST_CASE(
    "an upstream that says in an answer that it is cold is limited from then "
    "on",
    "[router][cold]"
) {
    daemon_group group{{"s"}, cold_options()};
    group.upstream(0).set_extra_headers({{"Cold-Remaining", "soon"}});
    CHECK(group.request(0, "/s/1") == 200);
    CHECK(group.describe(0)["instance"]["cold"] == false);
    group.upstream(0).set_extra_headers({{"Cold-Remaining", "60000"}});
    CHECK(group.request(0, "/s/1") == 200);
    CHECK(group.describe(0)["instance"]["cold"] == true);
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(group.request(0, "/s/2"));
    }
    CHECK(group.runs_of("/s/2") <= 4);
}

TEST_CASE(
    "requests above the limit of a cold upstream go to a warm one",
    "[router][cold]"
) {
    daemon_group group{{"s", "s"}, cold_options()};
    group.set_cold_time(0, 60s);
    wait_for_cold(group, 0, true);
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
        answered += group.request(0, "/s/1") == 200 ? 1 : 0;
    }
    CHECK(answered == 40);
    CHECK(group.upstream(0).requests().size() <= 4);
}

TEST_CASE(
    "an upstream that crashed counts as cold before its next heartbeat",
    "[router][cold]"
) {
    daemon_group group{{"s"}, cold_options()};
    CHECK(group.request(0, "/s/1") == 200);
    group.send_heartbeats_of(0, false);
    group.upstream(0).crash();
    static_cast<void>(group.request(0, "/s/1"));
    wait_for_cold(group, 0, true);
    group.upstream(0).restart();
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(group.request(0, "/s/2"));
    }
    CHECK(group.runs_of("/s/2") <= 4);
    // The new run says that it is warm.
    group.send_heartbeats_of(0, true);
    wait_for_cold(group, 0, false);
    CHECK(group.request(0, "/s/3") == 200);
}

TEST_CASE(
    "a crash of an idle upstream is noticed before a request finds its next "
    "run",
    "[router][cold]"
) {
    daemon_group group{{"s"}, cold_options()};
    CHECK(group.request(0, "/s/1") == 200);
    group.send_heartbeats_of(0, false);
    group.upstream(0).crash();
    wait_for_cold(group, 0, true);
    // Its silence alone would be noticed later.
    REQUIRE(group.describe(0)["instance"]["ready"] == true);
    group.upstream(0).restart();
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(group.request(0, "/s/2"));
    }
    CHECK(group.runs_of("/s/2") <= 4);
}

TEST_CASE(
    "a daemon that has just started sends nothing to a cold upstream",
    "[router][cold]"
) {
    daemon_group group{{"s"}, cold_options()};
    group.set_cold_time(0, 60s);
    wait_for_cold(group, 0, true);
    group.restart_daemon(0);
    for (int i = 0; i < 10; ++i) {
        static_cast<void>(group.request(0, "/s/1"));
    }
    CHECK(group.runs_of("/s/1") <= 1);
}

TEST_CASE("without bounds a cold upstream has no limit", "[router][cold]") {
    daemon_group group{{"s"}};
    group.set_cold_time(0, 60s);
    group.upstream(0).set_extra_headers({{"Cold-Remaining", "60000"}});
    for (int i = 0; i < 30; ++i) {
        CHECK(group.request(0, "/s/1") == 200);
    }
    CHECK(group.describe(0)["instance"]["cold"] == false);
}
