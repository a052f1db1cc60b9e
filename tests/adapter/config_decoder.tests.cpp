// Guards against a configuration that is decoded wrongly or applied in part:
// columns in another order, sections of unknown types, invalid rows.

#include <platform/config_decoder.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

const std::string services =
    R"({"columns":["name","healthCheckPath","maxConnections","sharded",)"
    R"("warmupS"],"rows":[["s","/health",120,true,3.0],)"
    R"(["t","/health",null,null,null]]})";

const std::string plain_route =
    R"(["r-1","a.example","/x/","idempotent",600,250,2,"s",2,null])";

const std::string split_route =
    R"(["r-2","a.example","/y/","non_idempotent",800,300,1,null,2,)"
    R"([{"service":"s","weight":90},{"service":"t","weight":10}]])";

std::string with_routes(const std::string& rows) {
    return R"({"version":"0000001c","baseVersion":"00000005",)"
           R"("routes":{"columns":["name","host","prefix","kind",)"
           R"("timeoutMs","targetLatencyMs","priority","service",)"
           R"("retryAttempts","trafficSplit"],"rows":[)" +
           rows + R"(]},"services":)" + services +
           R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

} // namespace

TEST_CASE("a configuration is decoded into typed fields", "[adapter]") {
    const routing::routing_config config =
        decode_config(with_routes(plain_route + "," + split_route));
    CHECK(config.version.value == 0x1c);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].idempotent);
    CHECK(config.routes[0].timeout == 600ms);
    CHECK(config.routes[0].target_latency == 250ms);
    CHECK(config.routes[0].priority == 2);
    CHECK(config.routes[0].max_instances == 2);
    CHECK(config.routes[0].services.front().service == service_id{"s"});
    CHECK_FALSE(config.routes[1].idempotent);
    CHECK(config.routes[1].services.size() == 2);
    CHECK(config.services.at({"s"}).keyed);
    CHECK(config.services.at({"s"}).max_connections == 120);
    CHECK_FALSE(config.services.at({"t"}).keyed);
    CHECK(config.limits.idle_timeout == 15s);
}

TEST_CASE("requests of a download may be repeated", "[adapter]") {
    const routing::routing_config config = decode_config(with_routes(
        R"(["r-1","a.example","/x/","download",600,250,2,"s",2,null])"
    ));
    CHECK(config.routes.at(0).idempotent);
}

namespace {

/// The regions that a route's field of this text allows.
std::vector<region_id> regions_of(const std::string& field) {
    return decode_config(
               R"({"version":"02","routes":{"columns":["name","host","prefix",)"
               R"("kind","timeoutMs","targetLatencyMs","service",)"
               R"("allowedRegions"],"rows":[["r","a","/x/","idempotent",600,)"
               R"(250,"s")" +
               field + R"(]]},"services":{"columns":["name"],"rows":[["s"]]}})"
    )
        .routes.at(0)
        .allowed_regions;
}

} // namespace

TEST_CASE("a route's allowed regions are decoded", "[adapter][regions]") {
    CHECK(
        regions_of(R"(,["south","north","south"])") ==
        std::vector<region_id>{{"north"}, {"south"}}
    );
    // No restriction.
    CHECK(regions_of("").empty());
    CHECK(regions_of(",null").empty());
    CHECK(regions_of(",[]").empty());
}

TEST_CASE(
    "a restriction that can't be understood makes a configuration invalid",
    "[adapter][regions]"
) {
    for (const std::string field :
         {R"(,"north")", ",7", R"(,["north",7])", R"(,[""])", ",{}"}) {
        CAPTURE(field);
        CHECK_THROWS_AS(regions_of(field), config_error);
    }
}

TEST_CASE("columns may have any order and unknown names", "[adapter]") {
    const routing::routing_config config = decode_config(
        R"({"version":"02","routes":{"columns":["odd","prefix","kind","host",)"
        R"("targetLatencyMs","timeoutMs","service","name"],"rows":[)"
        R"([{},"/x/","idempotent","a",250,600,"s","r-1"]]},)"
        R"("services":{"columns":["name"],"rows":[["s"]]}})"
    );
    REQUIRE(config.routes.size() == 1);
    CHECK(config.routes[0].prefix == "/x/");
    CHECK(config.routes[0].max_instances == 1);
}

TEST_CASE("sections of unknown types are ignored", "[adapter]") {
    std::string text = with_routes(plain_route);
    text.insert(1, R"("odd":{"columns":[],"rows":[]},)");
    CHECK(decode_config(text).routes.size() == 1);
}

TEST_CASE("an invalid configuration is rejected as a whole", "[adapter]") {
    CHECK_THROWS_AS(decode_config("{"), config_error);
    CHECK_THROWS_AS(decode_config("{}"), config_error);
    CHECK_THROWS_AS(
        decode_config(R"({"version":"zz","routes":{},"services":{}})"),
        config_error
    );
    CHECK_THROWS_AS(
        decode_config(with_routes(plain_route + R"(,["r-2","a.example"])")),
        config_error
    );
    CHECK_THROWS_AS(
        decode_config(with_routes(plain_route + ",7")), config_error
    );
}

TEST_CASE("limits for cold instances are decoded", "[adapter][cold]") {
    const auto service_with = [](const std::string& fields) {
        return decode_config(
                   R"({"version":"02","routes":{"columns":[],"rows":[]},)"
                   R"("services":{"columns":["name","coldStartS","coldPerS"],)"
                   R"("rows":[["s",)" +
                   fields + "]]}}"
        )
            .services.at({"s"});
    };
    CHECK(service_with("8.5,4.6").cold_start_time == 8500ms);
    CHECK(service_with("8.5,4.6").cold_per_second == 4.6);
    CHECK(service_with("null,null").cold_start_time == 0s);
    CHECK(service_with("null,0").cold_per_second == 0);
    // A malformed value makes no configuration unusable.
    for (const std::string& malformed :
         {std::string{R"("fast","9")"},
          std::string{"-1,-1"},
          std::string{"1e99,1e99"},
          std::string{"[],{}"}}) {
        INFO(malformed);
        CHECK(service_with(malformed).cold_start_time == 0s);
        CHECK(service_with(malformed).cold_per_second == 0);
    }
}
