// Guards against frames that decode differently from what was sent, also when
// they arrive in pieces of any size, and against malformed bytes that make the
// decoder fail in another way than by `decode_error`.

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/router/frames.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::router;
using namespace std::chrono_literals;

namespace {

request_frame make_request() {
    request_frame result;
    result.stream = stream_id{300};
    result.request.service_hash = name_hash("registry");
    result.request.method = "GET";
    result.request.target = "/a/b?c=d";
    result.request.headers = {{"Host", "a.example"}, {"Cookie", "x=1"}};
    result.request.body = std::string("\0\r\n", 3);
    result.request.key = 65535;
    result.request.priority = 2;
    result.request.time_to_target = 250ms;
    result.request.time_to_deadline = -5ms;
    return result;
}

} // namespace

TEST_CASE(
    "a request received byte by byte is decoded unchanged", "[router][frames]"
) {
    header_table sender;
    const std::string bytes = encode_frame(make_request(), sender);
    header_table receiver;
    std::string received;
    std::optional<frame> decoded_frame;
    for (const char byte : bytes) {
        REQUIRE_FALSE(decoded_frame);
        received += byte;
        decoded_frame = decode_frame(received, receiver);
    }
    REQUIRE(decoded_frame);
    const auto& decoded = std::get<request_frame>(*decoded_frame);
    CHECK(decoded.stream == stream_id{300});
    CHECK(decoded.request.target == "/a/b?c=d");
    CHECK(decoded.request.headers.at(1).value == "x=1");
    CHECK(decoded.request.body == make_request().request.body);
    CHECK(decoded.request.key == 65535U);
    CHECK(decoded.request.time_to_target == 250ms);
    CHECK(decoded.request.time_to_deadline == 0ms);
    CHECK(received.empty());
}

TEST_CASE("a repeated request is encoded in fewer bytes", "[router][frames]") {
    header_table sender;
    const std::size_t first = encode_frame(make_request(), sender).size();
    const std::size_t second = encode_frame(make_request(), sender).size();
    CHECK(second + 20 < first);
}

TEST_CASE("decoded control frames equal the sent ones", "[router][frames]") {
    header_table table;
    std::string bytes =
        encode_frame(revocation_reply{host_id{9}, {412}, true}, table) +
        encode_frame(ping_frame{}, table) +
        encode_frame(promise_request{{7}, {5}, 3}, table);
    const auto reply = decode_frame(bytes, table);
    CHECK(std::get<revocation_reply>(*reply).holder == host_id{9});
    CHECK(std::get<revocation_reply>(*reply).version.value == 412);
    CHECK(std::holds_alternative<ping_frame>(*decode_frame(bytes, table)));
    CHECK(std::get<promise_request>(*decode_frame(bytes, table)).sequence == 3);
}

TEST_CASE("corrupted frames are decoded or throw decode_error", "[fuzz]") {
    rc::prop("random bytes after the length prefix are changed", [] {
        header_table sender;
        std::string bytes = encode_frame(make_request(), sender);
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(4, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        header_table receiver;
        try {
            static_cast<void>(decode_frame(bytes, receiver));
        } catch (const decode_error&) {
        }
    });
}

namespace {

config_reply reply_with_routes(std::size_t count) {
    config_reply result;
    result.config.version = {7};
    for (std::size_t index = 0; index < count; ++index) {
        routing::route route;
        route.name = "r" + std::to_string(index);
        route.host = "a.example";
        route.prefix = "/x/";
        route.timeout = 600ms;
        route.services = {{{"s"}, 90}, {{"t"}, 10}};
        result.config.routes.push_back(route);
    }
    result.config.services[{"s"}].keyed = true;
    return result;
}

std::string encoded(const config_reply& reply) {
    header_table headers;
    return encode_frame(reply, headers);
}

routing::routing_config decoded_config(std::string bytes) {
    header_table headers;
    return std::get<config_reply>(decode_frame(bytes, headers).value()).config;
}

} // namespace

TEST_CASE(
    "restrictions are sent with the configuration", "[router][frames][regions]"
) {
    config_reply sent = reply_with_routes(3);
    sent.config.routes[1].allowed_regions = {{"north"}, {"south"}};
    const routing::routing_config received = decoded_config(encoded(sent));
    CHECK(received.routes.at(0).allowed_regions.empty());
    CHECK(
        received.routes.at(1).allowed_regions ==
        sent.config.routes[1].allowed_regions
    );
    CHECK(received.routes.at(2).allowed_regions.empty());
}

TEST_CASE(
    "a configuration without restrictions is encoded as by daemons that know "
    "none",
    "[router][frames][regions]"
) {
    // Of the encoding before there were restrictions.
    constexpr std::uint64_t earlier_hash = 6150090686847808301ULL;
    constexpr std::size_t earlier_size = 298;
    config_reply reply = reply_with_routes(2);
    const std::string bytes = encoded(reply);
    CHECK(bytes.size() == earlier_size);
    CHECK(stable_hash(bytes) == earlier_hash);
    // Such daemons read the first part of a restricted one.
    reply.config.routes[0].allowed_regions = {{"north"}};
    constexpr std::size_t length_bytes = 4;
    const std::string restricted = encoded(reply);
    CHECK(
        restricted.substr(length_bytes, bytes.size() - length_bytes) ==
        bytes.substr(length_bytes)
    );
}

TEST_CASE(
    "malformed restrictions make a configuration's frame malformed",
    "[router][frames][regions]"
) {
    config_reply reply = reply_with_routes(2);
    const std::size_t unrestricted_size = encoded(reply).size();
    reply.config.routes[1].allowed_regions = {{"north"}};
    const std::string bytes = encoded(reply);
    // A shorter payload with a length prefix that fits.
    for (std::size_t size = unrestricted_size + 1; size < bytes.size();
         ++size) {
        std::string cut = bytes.substr(0, size);
        constexpr std::size_t length_bytes = 4;
        constexpr std::size_t byte_values = 256;
        cut[0] = static_cast<char>((size - length_bytes) % byte_values);
        cut[1] = static_cast<char>((size - length_bytes) / byte_values);
        CHECK_THROWS_AS(decoded_config(cut), decode_error);
    }
    // The index of a route that doesn't exist follows the number of routes.
    std::string other = bytes;
    constexpr std::size_t count_bytes = 8;
    other[unrestricted_size + count_bytes] = 2;
    CHECK_THROWS_AS(decoded_config(other), decode_error);
}

TEST_CASE("a decoded configuration equals the sent one", "[router][frames]") {
    config_reply sent;
    sent.config.version = {7};
    routing::route route;
    route.name = "r";
    route.host = "a.example";
    route.prefix = "/x/";
    route.idempotent = true;
    route.timeout = 600ms;
    route.services = {{{"s"}, 90}, {{"t"}, 10}};
    sent.config.routes.push_back(route);
    sent.config.services[{"s"}].keyed = true;
    sent.config.limits.idle_timeout = 15s;
    header_table sender;
    header_table receiver;
    std::string bytes = encode_frame(sent, sender);
    const auto decoded_frame = decode_frame(bytes, receiver);
    REQUIRE(decoded_frame);
    const routing::routing_config& decoded =
        std::get<config_reply>(*decoded_frame).config;
    CHECK(decoded.version == routing::config_version{7});
    CHECK(decoded.routes.at(0).prefix == "/x/");
    CHECK(decoded.routes.at(0).timeout == 600ms);
    CHECK(decoded.routes.at(0).services.at(1).service == service_id{"t"});
    CHECK(decoded.services.at({"s"}).keyed);
    CHECK(decoded.limits.idle_timeout == 15s);
}
