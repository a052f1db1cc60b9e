// Guards against requests that are sent to the wrong route, and against
// services that get another share of a route's requests than their weight.

#include <apricotstile/routing/route_table.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace apricotstile;
using namespace apricotstile::routing;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = {{{"registry"}, 1}};
    return result;
}

std::string route_name(
    const route_table& table, std::string_view host, std::string_view target
) {
    const route* const one = find_route(table, host, target);
    return one == nullptr ? "none" : one->name;
}

} // namespace

TEST_CASE("the longest matching prefix of the host is chosen", "[routing]") {
    routing_config config;
    config.routes = {
        make_route("short", "a.example", "/x/"),
        make_route("long", "a.example", "/x/y/"),
        make_route("other", "b.example", "/x/y/z/")};
    const route_table table = make_route_table(config);
    CHECK(route_name(table, "a.example", "/x/1") == "short");
    CHECK(route_name(table, "a.example:80", "/x/y/1?q=/x/y/z/") == "long");
    CHECK(route_name(table, "a.example", "/x/y") == "short");
    CHECK(route_name(table, "a.example", "/x") == "none");
    CHECK(route_name(table, "c.example", "/x/1") == "none");
}

TEST_CASE("services are chosen in proportion to their weights", "[routing]") {
    route weighted = make_route("r", "a.example", "/");
    weighted.services = {{{"one"}, 90}, {{"two"}, 10}};
    int second = 0;
    for (int i = 0; i < 1000; ++i) {
        second += choose_service(weighted, i / 1000.0) == service_id{"two"};
    }
    CHECK(second == 100);
}

TEST_CASE("the longest matching prefix is found among any", "[routing]") {
    rc::prop("as by trying all routes", [] {
        const auto any_path =
            rc::gen::container<std::string>(rc::gen::element('a', 'b', '/', '/')
            );
        routing_config config;
        const auto prefixes =
            *rc::gen::container<std::set<std::string>>(any_path);
        for (const std::string& middle : prefixes) {
            const std::string prefix = "/" + middle + "/";
            config.routes.push_back(make_route(prefix, "a.example", prefix));
        }
        const std::string path = "/" + *any_path;
        std::string longest = "none";
        for (const route& one : config.routes) {
            const bool is_longer =
                longest == "none" || one.prefix.size() > longest.size();
            if (path.starts_with(one.prefix) && is_longer) {
                longest = one.prefix;
            }
        }
        const route_table table = make_route_table(config);
        RC_ASSERT(route_name(table, "a.example", path) == longest);
    });
}
