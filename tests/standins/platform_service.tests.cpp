// The platform stand-in's effects and answers under its faults and limits.

#include <standins/platform/platform_service.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace apricotstile;
using namespace apricotstile::standins;
using namespace std::chrono_literals;

namespace {

constexpr instant start{};

http_request write_row(const std::string& key, int wanted_version) {
    http_request request{"POST", "/table/commit", {}, {}, {}};
    request.body =
        nlohmann::json{
            {"conditions", {{{"key", key}, {"version", wanted_version}}}},
            {"mutations", {{{"key", key}, {"value", "AGE="}}}}}
            .dump();
    return request;
}

http_request read_rows(const std::string& prefix) {
    return {"GET", "/table/rows", {{"prefix", prefix}}, {}, {}};
}

http_request set_faults(const std::string& faults) {
    return {"POST", "/faults", {}, {}, faults};
}

std::string body_after(platform_service& service, const http_request& request) {
    return handle(service, request, start).reply.body;
}

} // namespace

TEST_CASE("a commit applies only from the versions it names", "[standins]") {
    platform_service service;
    REQUIRE(
        body_after(service, write_row("a", 0)) ==
        R"({"status":"committed","versions":[1]})"
    );
    REQUIRE(
        body_after(service, write_row("a", 0)) == R"({"status":"conflict"})"
    );
    // The value holds a zero byte, which must survive the way through JSON.
    REQUIRE(
        body_after(service, read_rows("")) ==
        R"({"rows":[{"key":"a","value":"AGE=","version":1}]})"
    );
}

TEST_CASE("an erased row goes on counting its versions", "[standins]") {
    platform_service service;
    (void)handle(service, write_row("a", 0), start);
    const http_request erase{
        "POST",
        "/table/commit",
        {},
        {},
        R"({"conditions":[],"mutations":[{"key":"a","value":null}]})"};
    (void)handle(service, erase, start);
    REQUIRE(body_after(service, read_rows("")) == R"({"rows":[]})");
    REQUIRE(
        body_after(service, write_row("a", 0)) ==
        R"({"status":"committed","versions":[3]})"
    );
}

TEST_CASE("a store that is down refuses without effect", "[standins]") {
    platform_service service;
    (void)handle(service, set_faults(R"({"down":true})"), start);
    REQUIRE(handle(service, write_row("a", 0), start).reply.status == 503);
    (void)handle(service, set_faults(R"({"down":false})"), start);
    REQUIRE(body_after(service, read_rows("")) == R"({"rows":[]})");
}

TEST_CASE("a lost answer's write takes effect", "[standins]") {
    platform_service service;
    (void)handle(service, set_faults(R"({"lose_answers":true})"), start);
    const planned_reply lost = handle(service, write_row("a", 0), start);
    REQUIRE(lost.how == delivery::connection_closed);
    REQUIRE(service.table.rows.at("a").version.value == 1);
}

TEST_CASE("a late write takes effect when it is due", "[standins]") {
    platform_service service;
    const std::string late = R"({"lose_answers":true,"late_effect_ms":50})";
    (void)handle(service, set_faults(late), start);
    (void)handle(service, write_row("a", 0), start);
    apply_late_writes(service, start + 49ms);
    REQUIRE(service.table.rows.empty());
    apply_late_writes(service, start + 50ms);
    REQUIRE(service.table.rows.count("a") == 1);
}

TEST_CASE("calls above the rate are refused and counted", "[standins]") {
    platform_service service;
    service.read_limit = make_rate_limit(2, start);
    REQUIRE(handle(service, read_rows(""), start).reply.status == 200);
    REQUIRE(handle(service, read_rows(""), start).reply.status == 200);
    REQUIRE(handle(service, read_rows(""), start).reply.status == 503);
    REQUIRE(handle(service, read_rows(""), start + 500ms).reply.status == 200);
    REQUIRE(service.stats.over_rate == 1);
}

TEST_CASE("malformed and unknown calls are refused", "[standins]") {
    platform_service service;
    REQUIRE(handle(service, set_faults("{"), start).reply.status == 400);
    REQUIRE(
        handle(service, set_faults(R"({"x":1})"), start).reply.status == 400
    );
    http_request commit = write_row("a", 0);
    commit.body.resize(20);
    REQUIRE(handle(service, commit, start).reply.status == 400);
    commit.path = "/elsewhere";
    REQUIRE(handle(service, commit, start).reply.status == 404);
}
