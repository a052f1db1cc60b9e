// Guards against routes that are classified wrongly: a caller's request taken
// as nested would start before all others, and a nested one taken as a caller's
// would wait behind the work that can't end without it.

#include <apricotstile/serving/caller_origins.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::serving;

namespace {

constexpr std::uint32_t order_route = 1;
constexpr std::uint32_t lookup_route = 2;

} // namespace

TEST_CASE("requests from one service's hosts alone are nested", "[serving]") {
    caller_origins origins;
    const std::vector<service_id> services{{"desk"}, {"release"}, {"ledger"}};
    for (std::size_t i = 0; i < 2000; ++i) {
        note_origin(origins, order_route, services[i % 3]);
        note_origin(origins, lookup_route, {"desk"});
        CHECK_FALSE(is_nested(origins, order_route));
    }
    CHECK(is_nested(origins, lookup_route));
    CHECK_FALSE(is_nested(origins, 3));
}

TEST_CASE("if all requests come from one service none is nested", "[serving]") {
    caller_origins origins;
    for (int i = 0; i < 200; ++i) {
        note_origin(origins, order_route, {"desk"});
        note_origin(origins, lookup_route, {"desk"});
    }
    CHECK_FALSE(is_nested(origins, order_route));
    CHECK_FALSE(is_nested(origins, lookup_route));
}

TEST_CASE("a route that callers begin to use isn't nested", "[serving]") {
    caller_origins origins;
    for (int i = 0; i < 600; ++i) {
        note_origin(
            origins,
            order_route,
            i % 2 == 0 ? service_id{"desk"} : service_id{"release"}
        );
        note_origin(origins, lookup_route, {"desk"});
    }
    REQUIRE(is_nested(origins, lookup_route));
    for (int i = 0; i < 100; ++i) {
        note_origin(origins, lookup_route, {"release"});
    }
    CHECK_FALSE(is_nested(origins, lookup_route));
}
