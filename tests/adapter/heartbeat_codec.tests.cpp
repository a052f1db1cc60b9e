// Guards against malformed heartbeats that are accepted or crash the daemon:
// missing fields, wrong types, corrupted bytes.

#include <platform/heartbeat_codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

const std::string example =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nord-a",)"
    R"("version":"v1","slots":14,"state":"draining","coldRemainingMs":0,)"
    R"("sequence":4,"born":1700000000123,"holds":[[0,4095,7]],)"
    R"("released":[[4096,8191,"5c0e7a21d94b36f8"]]})";

} // namespace

TEST_CASE("a heartbeat is decoded into typed fields", "[adapter]") {
    const keys::heartbeat decoded = decode_heartbeat("i-7", example);
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

TEST_CASE("malformed heartbeats are rejected", "[adapter]") {
    for (const std::string& body :
         {std::string{"{"},
          std::string{"[]"},
          std::string{R"({"service":"a"})"},
          std::string{
              R"({"service":"a","slots":1,"state":"ready","sequence":1})"},
          std::string{
              R"({"service":"a","slots":1,"state":"odd","sequence":1,"born":1})"},
          std::string{
              R"({"service":1,"slots":1,"state":"ready","sequence":1,"born":1})"},
          std::string{
              R"({"service":"a","slots":"1","state":"ready","sequence":1,"born":1})"},
          std::string{
              R"({"service":"a","slots":1,"state":"ready","sequence":1,"born":1,)"
              R"("holds":[[9,3,1]]})"}}) {
        INFO(body);
        CHECK_THROWS_AS(decode_heartbeat("i-1", body), heartbeat_error);
    }
}

TEST_CASE("the cold time of a heartbeat is decoded", "[adapter][cold]") {
    const auto cold_time = [](const std::string& field) {
        return decode_heartbeat(
                   "i-1",
                   R"({"service":"a","slots":1,"state":"ready","sequence":1,)"
                   R"("born":1)" +
                       field + "}"
        )
            .cold_remaining;
    };
    CHECK(cold_time("") == duration{0});
    CHECK(cold_time(R"(,"coldRemainingMs":null)") == duration{0});
    CHECK(cold_time(R"(,"coldRemainingMs":0)") == duration{0});
    CHECK(cold_time(R"(,"coldRemainingMs":1500)") == duration{1500ms});
    CHECK(cold_time(R"(,"coldRemainingMs":12.5)") == duration{12500us});
    // The heartbeat itself counts all the same.
    CHECK_FALSE(cold_time(R"(,"coldRemainingMs":-1)"));
    CHECK_FALSE(cold_time(R"(,"coldRemainingMs":"long")"));
    CHECK_FALSE(cold_time(R"(,"coldRemainingMs":[1])"));
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
            static_cast<void>(decode_heartbeat("i-1", body));
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

/// The example with the value of `field` replaced.
std::string with_field(const std::string& field, const std::string& value) {
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
        with_field("version", nested(deep)),
        with_field("slots", "1e400"),
        with_field("slots", "99999999999999999999999999"),
        with_field("slots", "18446744073709551615"),
        with_field("slots", "4294967297"),
        with_field("sequence", "18446744073709551616"),
        with_field("sequence", "18446744073709551615"),
        with_field("born", "18446744073709551615"),
        with_field("born", "9223372036854775807"),
        with_field("born", "-1"),
        with_field("slots", nested(deep)),
        with_field("holds", nested(deep)),
        with_field("state", nested(deep))
    );
    // The nested version is a field that isn't read.
    if (body.find("\"version\":[") != std::string::npos) {
        CHECK_NOTHROW(decode_heartbeat("i-1", body));
    } else {
        CHECK_THROWS_AS(decode_heartbeat("i-1", body), heartbeat_error);
    }
    CHECK_NOTHROW(deregistered_start_ms(body));
}

TEST_CASE(
    "the address in a heartbeat is of no use, whatever its port",
    "[adapter][odd]"
) {
    // A daemon knows the address of the instance beside it from its settings.
    for (const char* const where :
         {R"("10.0.0.1:99999")", R"("10.0.0.1:-1")", R"("")", "[]"}) {
        CHECK_NOTHROW(decode_heartbeat("i-1", with_field("address", where)));
    }
}
