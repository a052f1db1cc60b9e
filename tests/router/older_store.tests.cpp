// Guards against keys that aren't served, or that other daemons don't find,
// after the store came back from an older copy.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <apricotstile/core/time.hpp>
#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

TEST_CASE(
    "keys are served without a break when the store comes back older",
    "[router][era]"
) {
    daemon_group group{{"s", "s", "t"}, {{"s"}, 2s}};
    REQUIRE(wait_until([&] {
        return group.request(2, "/s/1") == 200;
    }));
    group.restore_older_table();
    // Longer than all daemons take to claim their keys.
    const instant end = boot_clock::now() + 4s;
    while (boot_clock::now() < end) {
        for (std::size_t index = 0; index < 3; ++index) {
            CHECK(group.request(index, "/s/1") == 200);
        }
    }
    // The rows are complete again: a daemon that starts finds the owner.
    group.restart_daemon(2);
    CHECK(group.request(2, "/s/1") == 200);
}
