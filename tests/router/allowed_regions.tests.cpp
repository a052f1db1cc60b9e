// Guards against requests that reach an instance in a region that their route
// doesn't allow, whichever daemon has the older configuration, and against keys
// that stay there.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

TEST_CASE(
    "the daemon beside the instance rejects by its own configuration",
    "[router][regions]"
) {
    daemon_group_options options;
    options.regions = {"north", "south"};
    daemon_group group{{"s", "t"}, options};
    REQUIRE(group.request(1, "/s/before") == 200);
    // Daemon 1 doesn't know of the restriction when it sends its request.
    group.restrict_route(0, 2, "s", {{"south"}});
    CHECK(group.request(1, "/s/remote") == 503);
    CHECK(group.request(0, "/s/local") == 503);
    CHECK(group.request(0, "/t/other") == 200);
    CHECK(group.runs_of("/s/remote") == 0);
    CHECK(group.runs_of("/s/local") == 0);
    CHECK(group.describe(0)["config"]["restricted_routes"] == 1);
    group.restrict_route(0, 3, "s", {{"north"}, {"south"}});
    CHECK(group.request(1, "/s/after") == 200);
}

TEST_CASE("a peer passes restrictions on", "[router][regions]") {
    daemon_group_options options;
    options.regions = {"north", "south"};
    daemon_group group{{"s", "t"}, options};
    group.restrict_route(0, 2, "s", {{"south"}});
    REQUIRE(wait_until([&] {
        static_cast<void>(group.request(1, "/s/1"));
        return group.describe(1)["config"]["version"] == 2;
    }));
    CHECK(group.describe(1)["config"]["restricted_routes"] == 1);
}

TEST_CASE(
    "keys move to a region that their service's routes allow",
    "[router][regions]"
) {
    daemon_group_options options;
    options.regions = {"north", "north", "south"};
    options.keyed = {"k"};
    daemon_group group{{"k", "k", "k"}, options};
    REQUIRE(wait_until([&] {
        return group.request(0, "/k/first") == 200;
    }));
    for (const std::uint64_t version : {2, 3}) {
        // The second time they go back.
        const region_id allowed{version == 2 ? "south" : "north"};
        for (std::size_t index = 0; index < 3; ++index) {
            group.restrict_route(index, version, "k", {allowed});
        }
        const std::string target = "/k/" + allowed.value;
        REQUIRE(wait_until([&] {
            return group.request(0, target) == 200;
        }));
        for (std::size_t index = 0; index < 3; ++index) {
            const auto& seen = group.upstream(index).requests();
            const bool is_allowed = (index == 2) == (version == 2);
            const auto runs = std::count(seen.begin(), seen.end(), target);
            CHECK((is_allowed || runs == 0));
        }
    }
}

TEST_CASE(
    "keys stay where they are if no region may own them", "[router][regions]"
) {
    daemon_group_options options;
    options.regions = {"north", "south"};
    options.keyed = {"k"};
    daemon_group group{{"k", "t"}, options};
    REQUIRE(wait_until([&] {
        return group.request(1, "/k/first") == 200;
    }));
    for (std::size_t index = 0; index < 2; ++index) {
        group.restrict_route(index, 2, "k", {{"south"}});
    }
    CHECK(group.request(1, "/k/second") == 503);
    for (std::size_t index = 0; index < 2; ++index) {
        group.restrict_route(index, 3, "k", {});
    }
    CHECK(group.request(1, "/k/third") == 200);
    CHECK(group.runs_of("/k/second") == 0);
}
