// Guards against malformed heartbeats that are accepted or crash the daemon:
// missing fields, wrong types, corrupted bytes.

#include <platform/heartbeat_codec.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

const std::string example =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nord-a",)"
    R"("version":"v1","slots":14,"state":"draining","coldRemainingMs":0,)"
    R"("sequence":4,"born":1700000000123,"holds":[[0,4095,7]],)"
    R"("released":[[4096,8191,"5c0e7a21d94b36f8"]]})";

const instance_place here{*parse_address("10.128.0.9:8080"), {"nord-a"}};

keys::heartbeat decode(const std::string& body) {
    return decode_heartbeat("i-7", body, here);
}

/// The example with the value of `field` replaced.
std::string with_field(const std::string& field, const nlohmann::json& value) {
    nlohmann::json fields = nlohmann::json::parse(example);
    fields[field] = value;
    return fields.dump();
}

std::string without_field(const std::string& field) {
    nlohmann::json fields = nlohmann::json::parse(example);
    fields.erase(field);
    return fields.dump();
}

} // namespace

TEST_CASE("a heartbeat is decoded into typed fields", "[adapter]") {
    const keys::heartbeat decoded = decode(example);
    CHECK(decoded.instance.id == "i-7");
    CHECK(decoded.instance.started_ms == 1700000000123);
    CHECK(decoded.service == service_id{"huvo11a"});
    CHECK(decoded.sequence == 4);
    CHECK(decoded.state == directory::instance_state::draining);
    REQUIRE(decoded.holds.size() == 1);
    CHECK(decoded.holds.front().keys == keys::key_range{0, 4095});
    CHECK(decoded.holds.front().fence == fencing_token{7});
    REQUIRE(decoded.released.size() == 1);
    CHECK(decoded.released.front().handover == "5c0e7a21d94b36f8");
}

TEST_CASE("a heartbeat that is no JSON object is rejected", "[adapter]") {
    for (const char* const body : {"", "{", "[]", "null", "7", "{}"}) {
        INFO(body);
        CHECK_THROWS_AS(decode(body), heartbeat_error);
    }
}

TEST_CASE(
    "a heartbeat that lacks a field names no instance", "[adapter][odd]"
) {
    // Guards against another writer's heartbeat that replaces the known
    // instance, whose keys then go to others while it holds them.
    for (const char* const field :
         {"service",
          "address",
          "zone",
          "version",
          "slots",
          "state",
          "coldRemainingMs",
          "sequence",
          "born",
          "holds",
          "released"}) {
        INFO(field);
        CHECK_THROWS_AS(decode(without_field(field)), heartbeat_error);
    }
}

TEST_CASE(
    "a heartbeat with a field of another type, empty or with an unknown value "
    "names no instance",
    "[adapter][odd]"
) {
    // Guards against another writer's heartbeat that replaces the known
    // instance, whose keys then go to others while it holds them.
    const nlohmann::json array = nlohmann::json::array({1});
    const nlohmann::json object = nlohmann::json::object({{"a", 1}});
    const std::map<std::string, std::vector<nlohmann::json>> odd_values{
        {"service", {nullptr, 1, "", array, object}},
        {"address",
         {nullptr,
          1,
          "",
          "10.128.0.9",
          "10.128.0.9:99999",
          "10.128.0.9:-1",
          "10.128.0.9:8081",
          "10.128.0.8:8080",
          array,
          object}},
        {"zone", {nullptr, 1, "", "sud-b", array, object}},
        {"version", {nullptr, 1, "", array, object}},
        {"slots", {nullptr, "14", "", -1, 1.5, true, array, object}},
        {"state", {nullptr, 1, "", "odd", array, object}},
        {"coldRemainingMs", {nullptr, "0", "", -1, true, array, object}},
        {"sequence", {nullptr, "4", "", -1, 1.5, array, object}},
        {"born", {nullptr, "1700000000123", "", -1, 1.5, array, object}},
        {"holds",
         {nullptr,
          "",
          object,
          array,
          {{9, 3, 1}},
          {{0, 65536, 1}},
          {{0, 9}},
          {{0, 9, "7"}}}},
        {"released", {nullptr, "", object, array, {{0, 9}}, {{0, 9, 7}}}}};
    for (const auto& [field, values] : odd_values) {
        for (const nlohmann::json& value : values) {
            const std::string body = with_field(field, value);
            INFO(body);
            CHECK_THROWS_AS(decode(body), heartbeat_error);
        }
    }
    CHECK_THROWS_AS(decode_heartbeat("", example, here), heartbeat_error);
}

TEST_CASE("an instance without keys sends no lists of keys", "[adapter]") {
    CHECK(decode(example).reports_keys);
    nlohmann::json fields = nlohmann::json::parse(example);
    fields.erase("holds");
    fields.erase("released");
    CHECK_FALSE(decode(fields.dump()).reports_keys);
}

TEST_CASE("unknown fields of a heartbeat are ignored", "[adapter]") {
    CHECK_NOTHROW(decode(with_field("more", {{"a", {1, 2}}})));
}

TEST_CASE("the cold time of a heartbeat is decoded", "[adapter][cold]") {
    const auto cold_time = [](const nlohmann::json& value) {
        return decode(with_field("coldRemainingMs", value)).cold_remaining;
    };
    CHECK(cold_time(0) == duration{0});
    CHECK(cold_time(1500) == duration{1500ms});
    CHECK(cold_time(12.5) == duration{12500us});
}

TEST_CASE(
    "a deregistration without a body doesn't say which run it is of",
    "[adapter]"
) {
    CHECK(
        decode_deregistration("i-7", "") ==
        directory::deregistration{"i-7", std::nullopt}
    );
}

TEST_CASE(
    "a deregistration with a malformed body names no instance", "[adapter][odd]"
) {
    // Guards against another writer's deregistration that makes an instance
    // drain which hasn't announced its departure.
    CHECK(
        decode_deregistration("i-7", R"({"born":12})") ==
        directory::deregistration{"i-7", 12}
    );
    for (const char* const body :
         {"{",
          "[]",
          "null",
          "{}",
          R"({"born":null})",
          R"({"born":"12"})",
          R"({"born":""})",
          R"({"born":-1})",
          R"({"born":1.5})",
          R"({"born":[12]})",
          R"({"born":18446744073709551615})",
          R"({"run":{"born":12}})"}) {
        INFO(body);
        CHECK_THROWS_AS(decode_deregistration("i-7", body), heartbeat_error);
    }
    CHECK_THROWS_AS(decode_deregistration("", ""), heartbeat_error);
    CHECK_THROWS_AS(
        decode_deregistration("", R"({"born":12})"), heartbeat_error
    );
}

TEST_CASE("corrupted heartbeats are decoded or rejected", "[adapter][fuzz]") {
    rc::prop("any bytes changed", [] {
        std::string body = example;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
            body[at] = *rc::gen::arbitrary<char>();
        }
        try {
            static_cast<void>(decode(body));
        } catch (const heartbeat_error&) {
        }
    });
}

TEST_CASE("a response without grants renews no key", "[adapter]") {
    CHECK(encode_response({}) == "{}");
    keys::heartbeat_answer response;
    response.grants = true;
    response.grant_duration = 2500ms;
    response.keys = {{{0, 9}, {7}, "h"}};
    CHECK(
        encode_response(response) == R"({"holdMs":2500,"holds":[[0,9,7,"h"]]})"
    );
    response.keys.clear();
    CHECK(encode_response(response) == R"({"holdMs":2500,"holds":[]})");
}

namespace {

/// The example with the text of the value of `field` replaced.
std::string with_text(const std::string& field, const std::string& value) {
    const std::size_t name = example.find('"' + field + '"');
    const std::size_t begin = example.find(':', name) + 1;
    const std::size_t end = example.find_first_of(",}", begin);
    return example.substr(0, begin) + value + example.substr(end);
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE(
    "an odd heartbeat of another writer is rejected and ends nothing",
    "[adapter][odd]"
) {
    constexpr std::size_t deep = 100'000;
    const std::string body = GENERATE_REF(
        nested(deep),
        with_text("version", nested(deep)),
        with_text("slots", "1e400"),
        with_text("slots", "99999999999999999999999999"),
        with_text("slots", "18446744073709551615"),
        with_text("slots", "4294967297"),
        with_text("sequence", "18446744073709551616"),
        with_text("sequence", "18446744073709551615"),
        with_text("born", "18446744073709551615"),
        with_text("born", "9223372036854775807"),
        with_text("born", "-1"),
        with_text("slots", nested(deep)),
        with_text("holds", nested(deep)),
        with_text("state", nested(deep))
    );
    CHECK_THROWS_AS(decode(body), heartbeat_error);
    try {
        static_cast<void>(decode_deregistration("i-1", body));
    } catch (const heartbeat_error&) {
    }
}
