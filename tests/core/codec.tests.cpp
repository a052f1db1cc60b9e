// Encoding and decoding of the structs that travel between daemons.

#include <apricotstile/request/routed_request.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using apricotstile::decode;
using apricotstile::decode_error;
using apricotstile::encode;
using apricotstile::request::routed_request;

TEST_CASE("a routed request survives encoding and decoding", "[codec]") {
    rc::prop(
        "every field comes back",
        [](std::uint64_t id, const std::string& key, const std::string& body) {
            routed_request sent;
            sent.id.value = id;
            sent.key = key;
            sent.body = body;
            sent.time_left = std::chrono::milliseconds{7};
            const auto got = decode<routed_request>(encode(sent));
            RC_ASSERT(got.id == sent.id);
            RC_ASSERT(got.key == sent.key);
            RC_ASSERT(got.body == sent.body);
            RC_ASSERT(got.time_left == sent.time_left);
        }
    );
}

TEST_CASE("truncated and trailing bytes are refused", "[codec]") {
    const std::string whole = encode(routed_request{});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        REQUIRE_THROWS_AS(
            decode<routed_request>(whole.substr(0, length)), decode_error
        );
    }
    REQUIRE_THROWS_AS(decode<routed_request>(whole + "x"), decode_error);
}
