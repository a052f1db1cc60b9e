// The operators' configuration as the platform stores it.

#include <platform/config_decoder.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

std::string with_resources(const std::string& resources) {
    return R"({"version":"0000001c","baseVersion":"00000005","resources":[)" +
           resources + "]}";
}

const std::string route_entry =
    R"({"resourceType":"routes","metadata":{"name":"r-1"},"specification":)"
    R"({"host":"a.example","prefix":"/x/","kind":"idempotent",)"
    R"("timeoutMs":600,"targetLatencyMs":250,"priority":2,)"
    R"("service":"s","retryAttempts":2}})";

const std::string split_entry =
    R"({"resourceType":"routes","metadata":{"name":"r-2"},"specification":)"
    R"({"host":"a.example","prefix":"/y/","kind":"non_idempotent",)"
    R"("timeoutMs":800,"targetLatencyMs":300,"priority":1,)"
    R"("trafficSplit":[{"service":"s","weight":90},)"
    R"({"service":"t","weight":10}],"retryAttempts":2}})";

const std::string service_entry =
    R"({"resourceType":"services","metadata":{"name":"s"},"specification":)"
    R"({"healthCheckPath":"/health","maxConnections":120,"sharded":true,)"
    R"("warmupS":3.0}})";

} // namespace

TEST_CASE("a configuration is decoded into the product's terms", "[adapter]") {
    const routing::routing_config config = decode_config(
        with_resources(route_entry + "," + split_entry + "," + service_entry)
    );
    CHECK(config.version.value == 0x1c);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].idempotent);
    CHECK(config.routes[0].timeout == 600ms);
    CHECK(config.routes[0].target_latency == 250ms);
    CHECK(config.routes[0].max_instances == 2);
    CHECK(config.routes[0].services.front().service == service_id{"s"});
    CHECK_FALSE(config.routes[1].idempotent);
    CHECK(config.routes[1].services.size() == 2);
    CHECK(config.services.at({"s"}).keyed);
    CHECK(config.services.at({"s"}).max_connections == 120);
}

TEST_CASE("entries of unknown types are left out", "[adapter]") {
    const routing::routing_config config = decode_config(with_resources(
        R"({"resourceType":"odd","metadata":{},"specification":{}},)" +
        route_entry
    ));
    CHECK(config.routes.size() == 1);
}

TEST_CASE("an invalid configuration is refused whole", "[adapter]") {
    CHECK_THROWS_AS(decode_config("{"), config_error);
    CHECK_THROWS_AS(decode_config("{}"), config_error);
    CHECK_THROWS_AS(
        decode_config(R"({"version":"zz","resources":[]})"), config_error
    );
    CHECK_THROWS_AS(
        decode_config(with_resources(
            R"({"resourceType":"routes","metadata":{"name":"r"},)"
            R"("specification":{"host":"a"}})"
        )),
        config_error
    );
}
