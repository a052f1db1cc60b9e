// Guards against requests and keys that leave the regions that their routes
// allow, and against warnings that are missing where nothing can be served.

#include <apricotstile/routing/allowed_regions.hpp>

#include <apricotstile/core/hashing.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace apricotstile;
using namespace apricotstile::routing;

namespace {

using region_list = std::vector<region_id>;

const region_id north{"north"};
const region_id south{"south"};
const region_id west{"west"};

void add_route(
    routing_config& config,
    const std::string& name,
    const region_list& regions,
    const std::vector<weighted_service>& services = {{{"s"}, 1}}
) {
    route added;
    added.name = name;
    added.services = services;
    added.allowed_regions = regions;
    config.routes.push_back(added);
}

bool serves(
    const routing_config& config,
    const std::string& route,
    bool keyed,
    const region_id& region
) {
    return may_serve(
        find_restrictions(config), {name_hash(route), {"s"}, keyed}, region
    );
}

bool owns(const routing_config& config, const region_id& region) {
    return may_own_keys(find_restrictions(config), {"s"}, region);
}

} // namespace

TEST_CASE("a region is allowed if each list allows it", "[routing][regions]") {
    rc::prop("any number of lists", [] {
        const auto lists = *rc::gen::container<std::vector<std::vector<int>>>(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))
        );
        region_set set;
        for (const std::vector<int>& one : lists) {
            region_list list;
            for (const int region : one) {
                list.push_back({std::to_string(region)});
            }
            restrict_to(set, list);
        }
        for (int region = 0; region < 6; ++region) {
            const bool expected = std::all_of(
                lists.begin(),
                lists.end(),
                [&](const std::vector<int>& one) {
                    return one.empty() ||
                           std::find(one.begin(), one.end(), region) !=
                               one.end();
                }
            );
            RC_ASSERT(is_allowed(set, {std::to_string(region)}) == expected);
        }
    });
}

TEST_CASE("a route is served in its regions only", "[routing][regions]") {
    routing_config config;
    add_route(config, "free", {});
    add_route(config, "bound", {north, south});
    for (const bool keyed : {false, true}) {
        CHECK(serves(config, "bound", keyed, north));
        CHECK(serves(config, "bound", keyed, south));
        CHECK_FALSE(serves(config, "bound", keyed, west));
        CHECK_FALSE(serves(config, "bound", keyed, {}));
        CHECK(serves(config, "free", keyed, west));
        // A sender may know a route that this configuration lacks.
        CHECK(serves(config, "unknown", keyed, west));
    }
    CHECK(find_restrictions(config).restricted_routes == 1);
}

TEST_CASE(
    "routes that can't be told apart have the stricter restriction",
    "[routing][regions]"
) {
    routing_config config;
    add_route(config, "r", {north, south});
    add_route(config, "r", {south, west});
    add_route(config, "r", {});
    CHECK_FALSE(serves(config, "r", false, north));
    CHECK(serves(config, "r", false, south));
    CHECK_FALSE(serves(config, "r", false, west));
}

TEST_CASE(
    "owners are in regions that every restricted route to a service allows",
    "[routing][regions]"
) {
    routing_config config;
    add_route(config, "free", {});
    CHECK(owns(config, west));
    add_route(config, "one", {north, south});
    add_route(config, "two", {south, west}, {{{"t"}, 1}, {{"s"}, 9}});
    CHECK_FALSE(owns(config, north));
    CHECK(owns(config, south));
    CHECK_FALSE(owns(config, west));
    CHECK(may_own_keys(find_restrictions(config), {"t"}, west));
    CHECK(may_own_keys(find_restrictions(config), {"other"}, north));
}

TEST_CASE(
    "keys stay where they are if their routes allow no common region",
    "[routing][regions]"
) {
    routing_config config;
    add_route(config, "free", {});
    add_route(config, "one", {north});
    add_route(config, "two", {south});
    CHECK(owns(config, north));
    CHECK(owns(config, west));
    CHECK_FALSE(serves(config, "one", true, north));
    CHECK_FALSE(serves(config, "two", true, south));
    CHECK(serves(config, "free", true, north));
    // Without a key, each route has regions of its own.
    CHECK(serves(config, "one", false, north));
}

TEST_CASE(
    "what a configuration leaves without a region is found",
    "[routing][regions]"
) {
    routing_config config;
    config.services[{"s"}].keyed = true;
    config.services[{"t"}].keyed = false;
    add_route(config, "free", {});
    add_route(config, "both", {north}, {{{"s"}, 1}, {{"t"}, 1}});
    std::map<service_id, std::set<region_id>> hosts{
        {{"s"}, {north, south}}, {{"t"}, {south}}};
    const unserved_parts one = find_unserved_parts(config, hosts);
    REQUIRE(one.routes.size() == 1);
    CHECK(one.routes[0].first == "both");
    CHECK(one.routes[0].second == service_id{"t"});
    CHECK(one.services.empty());
    // No restriction is the cause where a service has no hosts at all.
    hosts.erase({"t"});
    CHECK(find_unserved_parts(config, hosts).routes.empty());
    add_route(config, "west", {west});
    CHECK(
        find_unserved_parts(config, hosts).services ==
        std::vector<service_id>{{"s"}}
    );
}
