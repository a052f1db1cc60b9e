// Guards against a request that crashes more upstreams after three have crashed
// under it (BUDGET), as some daemon doesn't know of their crashes, or no crash
// counts as one of a lone request.

#include <tests/http/event_loop.hpp>
#include <tests/router/blocking_caller.hpp>
#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

/// Crashes after which a request is refused, and one more for callers of a
/// second service.
constexpr std::size_t max_crashes = 4;

/// A caller leaves while its request to "/s/" runs, before its answer.
void abandon_request(daemon_group& group, const std::string& target) {
    {
        const auto caller = group.begin_request(0, target);
        REQUIRE(wait_until([&] {
            return group.runs_of(target) == 1;
        }));
    }
    REQUIRE(wait_until([&] {
        return group.describe(0)["instance"]["running"] == 0;
    }));
}

} // namespace

TEST_CASE(
    "a request that crashed upstreams of one service is refused by the service "
    "that its route moves to",
    "[router][quarantine]"
) {
    daemon_group group{{"s", "s", "t", "t"}};
    group.send_to_all("/s/crash", 2);
    const std::size_t before = group.runs_of("/s/crash");
    REQUIRE(before <= max_crashes);
    group.move_route(2, "s", "t");
    group.send_to_all("/s/crash", 2);
    CHECK(group.runs_of("/s/crash") == before);
    CHECK(group.request(0, "/s/other") == 200);
}

TEST_CASE(
    "a daemon of another service refuses the request after it has restarted",
    "[router][quarantine]"
) {
    daemon_group group{{"s", "s", "t", "t"}};
    group.send_to_all("/s/crash", 2);
    const std::size_t before = group.runs_of("/s/crash");
    group.restart_daemon(2);
    group.restart_daemon(3);
    group.move_route(2, "s", "t");
    group.send_to_all("/s/crash", 2);
    CHECK(group.runs_of("/s/crash") == before);
}

TEST_CASE(
    "a request that crashed upstreams is refused after all daemons have "
    "restarted at once",
    "[router][quarantine]"
) {
    daemon_group group{{"s", "s", "s"}};
    group.send_to_all("/s/crash", 2);
    const std::size_t before = group.runs_of("/s/crash");
    REQUIRE(before <= max_crashes);
    // Twice, as the second run must keep what it has learned of the first.
    const int restarts = GENERATE(1, 2);
    for (int i = 0; i < restarts; ++i) {
        group.restart_all_daemons();
    }
    group.send_to_all("/s/crash", 2);
    CHECK(group.runs_of("/s/crash") == before);
    CHECK(group.request(0, "/s/other") == 200);
}

TEST_CASE(
    "a request is refused after its crashes although callers of others left",
    "[router][quarantine]"
) {
    daemon_group group{{"s"}};
    for (int round = 0; round < 8; ++round) {
        abandon_request(group, "/s/hang/" + std::to_string(round));
        static_cast<void>(group.request(0, "/s/crash"));
        group.restart_crashed_upstreams();
    }
    CHECK(group.runs_of("/s/crash") <= max_crashes);
}
