// Guards against a request that crashes one upstream after the other: wherever
// its callers send it, no more than a few upstreams may go down under it.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

/// Crashes after which a request is refused, and one more for callers of a
/// second service, which show that the crashes don't depend on the caller.
constexpr std::size_t max_crashes = 4;

} // namespace

TEST_CASE(
    "a request that crashes upstreams is refused whatever service its callers "
    "run beside",
    "[router][quarantine]"
) {
    daemon_group group{{"s", "s", "t", "u"}};
    group.send_to_all("/s/crash", 4);
    CHECK(group.runs_of("/s/crash") <= max_crashes);
    CHECK(group.request(2, "/s/other") == 200);
}

TEST_CASE(
    "a daemon that starts refuses the requests that crashed other upstreams",
    "[router][quarantine]"
) {
    daemon_group group{{"s", "s", "s"}};
    group.send_to_all("/s/crash", 2);
    const std::size_t before = group.runs_of("/s/crash");
    REQUIRE(before <= max_crashes);
    for (std::size_t index = 0; index < 3; ++index) {
        group.restart_daemon(index);
    }
    group.send_to_all("/s/crash", 2);
    CHECK(group.runs_of("/s/crash") == before);
}
