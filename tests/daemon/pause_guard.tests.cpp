// Requests that sat in a socket during a pause aren't taken for fresh ones.

#include <apricotstile/daemon/internal/pause_guard.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::daemon::internal;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};

} // namespace

TEST_CASE("nothing is refused while time passes evenly", "[daemon]") {
    pause_guard guard;
    for (instant now = start; now < start + 10s; now += 10ms) {
        notice_time(guard, now);
        REQUIRE_FALSE(refuses(guard, false, now));
    }
}

TEST_CASE("non-idempotent requests are refused after a pause", "[daemon]") {
    pause_guard guard;
    notice_time(guard, start);
    const instant awake = start + 3s;
    SECTION("when the timer runs first") {
        notice_time(guard, awake);
    }
    SECTION("when a socket is read first") {}
    REQUIRE(refuses(guard, false, awake));
    REQUIRE_FALSE(refuses(guard, true, awake));
    notice_time(guard, awake + 400ms);
    notice_time(guard, awake + 800ms);
    REQUIRE(refuses(guard, false, awake + 999ms));
    REQUIRE_FALSE(refuses(guard, false, awake + 1s));
}

TEST_CASE("a short delay isn't a pause", "[daemon]") {
    pause_guard guard;
    notice_time(guard, start);
    REQUIRE_FALSE(refuses(guard, false, start + longest_tick_gap));
}
