// Guards against requests to an upstream that has said in its answers that it
// leaves, while its heartbeats still say that it is ready.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <apricotstile/core/time.hpp>
#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr int requests = 20;

/// Sends requests until upstream 0 has said that it leaves, then until the
/// time that it is given to drain has passed.
void let_first_upstream_leave(daemon_group& group) {
    group.upstream(0).set_extra_headers({{"Server-Leaving", "1"}});
    REQUIRE(wait_until([&] {
        static_cast<void>(group.request(1, "/s/1"));
        return !group.upstream(0).requests().empty();
    }));
    const instant end = boot_clock::now() + group.drain_timeout();
    REQUIRE(wait_until([&] {
        return boot_clock::now() > end;
    }));
}

} // namespace

TEST_CASE(
    "an upstream that says that it leaves gets no requests after its drain "
    "time",
    "[router][leaving]"
) {
    daemon_group group{{"s", "s"}};
    let_first_upstream_leave(group);
    const std::size_t before = group.upstream(0).requests().size();
    for (int i = 0; i < requests; ++i) {
        CHECK(group.request(i % 2, "/s/1") == 200);
    }
    CHECK(group.upstream(0).requests().size() == before);
}

TEST_CASE(
    "a daemon remembers that an upstream leaves when the one beside it "
    "restarts",
    "[router][leaving]"
) {
    daemon_group group{{"s", "t"}};
    let_first_upstream_leave(group);
    group.restart_daemon(0);
    const std::size_t before = group.upstream(0).requests().size();
    for (int i = 0; i < requests; ++i) {
        CHECK(group.request(1, "/s/1") == 503);
    }
    CHECK(group.upstream(0).requests().size() == before);
}

TEST_CASE(
    "an upstream that deregisters before it leaves hands its keys over",
    "[router][leaving]"
) {
    daemon_group group{{"s", "s", "t"}, {{"s"}, 2s}};
    REQUIRE(wait_until([&] {
        return group.request(2, "/s/1") == 200;
    }));
    const std::size_t owner = group.upstream(0).requests().empty() ? 1 : 0;
    group.deregister(owner);
    const instant end = boot_clock::now() + group.drain_timeout();
    while (boot_clock::now() < end) {
        CHECK(group.request(2, "/s/1") == 200);
    }
    CHECK_FALSE(group.upstream(1 - owner).requests().empty());
}
