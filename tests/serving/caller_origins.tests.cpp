// Guards against routes that are classified wrongly: a caller's request taken
// as nested would start before all others, and a nested one taken as a caller's
// would wait behind the work that can't end without it, or be refused while it
// has enough time left.

#include <apricotstile/serving/caller_origins.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace apricotstile;
using namespace apricotstile::serving;

namespace {

constexpr std::uint32_t order_route = 1;
constexpr std::uint32_t lookup_route = 2;
constexpr std::uint32_t unseen_route = 3;

caller_origins origins_with_three_services() {
    caller_origins origins;
    set_host_counts(
        origins, {{{"desk"}, 6}, {{"release"}, 6}, {{"ledger"}, 6}}
    );
    return origins;
}

} // namespace

TEST_CASE("requests from one service's hosts alone are nested", "[serving]") {
    caller_origins origins = origins_with_three_services();
    const std::vector<service_id> services{{"desk"}, {"release"}, {"ledger"}};
    for (std::size_t i = 0; i < 2000; ++i) {
        note_origin(origins, order_route, services[i % 3]);
        note_origin(origins, lookup_route, {"desk"});
        CHECK(origin_of(origins, order_route) != request_origin::nested);
    }
    CHECK(origin_of(origins, order_route) == request_origin::callers);
    CHECK(origin_of(origins, lookup_route) == request_origin::nested);
    CHECK(origin_of(origins, unseen_route) == request_origin::unknown);
}

TEST_CASE("if all requests come from one service none is nested", "[serving]") {
    caller_origins origins;
    set_host_counts(origins, {{{"desk"}, 6}});
    for (int i = 0; i < 200; ++i) {
        note_origin(origins, order_route, {"desk"});
        note_origin(origins, lookup_route, {"desk"});
    }
    CHECK(origin_of(origins, order_route) == request_origin::callers);
    CHECK(origin_of(origins, lookup_route) == request_origin::callers);
}

TEST_CASE("a route that callers begin to use isn't nested", "[serving]") {
    caller_origins origins;
    set_host_counts(origins, {{{"desk"}, 6}, {{"release"}, 6}});
    for (int i = 0; i < 600; ++i) {
        note_origin(
            origins,
            order_route,
            i % 2 == 0 ? service_id{"desk"} : service_id{"release"}
        );
        note_origin(origins, lookup_route, {"desk"});
    }
    REQUIRE(origin_of(origins, lookup_route) == request_origin::nested);
    for (int i = 0; i < 100; ++i) {
        note_origin(origins, lookup_route, {"release"});
    }
    CHECK(origin_of(origins, lookup_route) != request_origin::nested);
}

TEST_CASE("nested requests may be most of an instance's work", "[serving]") {
    // Four of five requests are lookups by one service; a third of the hosts
    // of the callers' requests are of another one, which sends few in total.
    caller_origins origins;
    set_host_counts(
        origins, {{{"columns"}, 34}, {{"repairs"}, 23}, {{"documents"}, 12}}
    );
    const std::vector<service_id> services{
        {"columns"}, {"repairs"}, {"documents"}};
    for (std::size_t i = 0; i < 100; ++i) {
        note_origin(origins, order_route, services[i % 3]);
        for (int lookups = 0; lookups < 4; ++lookups) {
            note_origin(origins, lookup_route, {"columns"});
        }
    }
    CHECK(origin_of(origins, order_route) == request_origin::callers);
    CHECK(origin_of(origins, lookup_route) == request_origin::nested);
}

TEST_CASE("a route is of unknown origin until enough is seen", "[serving]") {
    caller_origins origins;
    set_host_counts(origins, {{{"permits"}, 60}, {{"till"}, 18}});
    int requests = 0;
    while (origin_of(origins, lookup_route) == request_origin::unknown) {
        note_origin(origins, lookup_route, {"permits"});
        ++requests;
        REQUIRE(requests < 100);
    }
    CHECK(origin_of(origins, lookup_route) == request_origin::nested);
    CHECK(requests > 30);
}
