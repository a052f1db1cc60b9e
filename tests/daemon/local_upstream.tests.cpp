// Announcements of upstreams.

#include <apricotstile/daemon/internal/local_upstream.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace {

using namespace apricotstile;
using daemon::internal::parse_announcement;

nlohmann::json valid_announcement() {
    return {
        {"address", "127.0.0.1:9100"},
        {"state", "ready"},
        {"services",
         {{{"name", "registry"},
           {"keyed", true},
           {"slices", 64},
           {"slots", 16},
           {"connections", 120}},
          {{"name", "tariffs"},
           {"keyed", false},
           {"slots", 8},
           {"connections", 40}}}}};
}

bool is_taken(const nlohmann::json& body) {
    return parse_announcement(body.dump()).has_value();
}

} // namespace

TEST_CASE("An announcement is read", "[announcement]") {
    const auto read = parse_announcement(valid_announcement().dump());
    REQUIRE(read);
    CHECK(to_string(read->address) == "127.0.0.1:9100");
    CHECK_FALSE(read->leaving);
    REQUIRE(read->services.size() == 2);
    CHECK(read->services[0].service.value == "registry");
    CHECK(read->services[0].keyed);
    CHECK(read->services[0].slice_count == 64);
    CHECK(read->services[0].slots == 16);
    CHECK_FALSE(read->services[1].keyed);
    // Its non-idempotent requests need an owner too.
    CHECK(read->services[1].slice_count > 0);
}

TEST_CASE("The narrowest service bounds the calls at once", "[announcement]") {
    auto body = valid_announcement();
    auto read = parse_announcement(body.dump());
    REQUIRE(read);
    CHECK(read->max_at_once == 8);
    CHECK(read->max_connections == 40);

    body["services"][0]["connections"] = 4;
    read = parse_announcement(body.dump());
    REQUIRE(read);
    CHECK(read->max_at_once == 4);
    CHECK(read->max_connections == 4);
}

TEST_CASE("An upstream may say that it leaves", "[announcement]") {
    auto body = valid_announcement();
    body["state"] = "leaving";
    const auto read = parse_announcement(body.dump());
    REQUIRE(read);
    CHECK(read->leaving);
}

TEST_CASE("Text that isn't an announcement is refused", "[announcement]") {
    const std::string body = GENERATE(
        as<std::string>{}, "", "{", "[]", "null", "7", R"({"address":"x"})"
    );
    CAPTURE(body);
    CHECK_FALSE(parse_announcement(body));
}

TEST_CASE("Each field of an announcement is required", "[announcement]") {
    const std::string field =
        GENERATE(as<std::string>{}, "address", "state", "services");
    CAPTURE(field);
    auto body = valid_announcement();
    body.erase(field);
    CHECK_FALSE(is_taken(body));
}

TEST_CASE("Each field of a keyed service is required", "[announcement]") {
    const std::string field = GENERATE(
        as<std::string>{}, "name", "keyed", "slices", "slots", "connections"
    );
    CAPTURE(field);
    auto body = valid_announcement();
    body["services"][0].erase(field);
    CHECK_FALSE(is_taken(body));
}

TEST_CASE("Services that can't take work are refused", "[announcement]") {
    auto body = valid_announcement();
    auto& service = body["services"][0];
    SECTION("no slots") {
        service["slots"] = 0;
    }
    SECTION("no connections") {
        service["connections"] = 0;
    }
    SECTION("no slices") {
        service["slices"] = 0;
    }
    SECTION("too many slices") {
        service["slices"] = (1U << 20U) + 1;
    }
    SECTION("no name") {
        service["name"] = "";
    }
    SECTION("a number as text") {
        service["slots"] = "16";
    }
    SECTION("no service at all") {
        body["services"] = nlohmann::json::array();
    }
    SECTION("no numeric address") {
        body["address"] = "localhost:9100";
    }
    CHECK_FALSE(is_taken(body));
}
