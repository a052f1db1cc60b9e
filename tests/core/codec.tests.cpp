// Encoding and decoding of the structs that travel between daemons.

#include <apricotstile/request/routed_request.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstring>
#include <sys/resource.h>

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

namespace {

/// The most memory that this process has had at a time.
long peak_memory_kib() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

/// `whole` with the number at `offset` replaced.
std::string
with_number(std::string whole, std::size_t offset, std::uint64_t number) {
    std::memcpy(whole.data() + offset, &number, sizeof number);
    return whole;
}

} // namespace

TEST_CASE("a forged length is refused before memory is allocated", "[codec]") {
    using texts = std::vector<std::string>;
    const std::string whole = encode(texts{"a", "b"});
    // After the byte that tells the order of the bytes: the number of texts and
    // the length of the first one.
    constexpr std::size_t count_offset = 1;
    constexpr std::size_t length_offset = count_offset + sizeof(std::uint64_t);
    constexpr long most_growth_kib = 16 << 10;
    const long before = peak_memory_kib();
    for (const std::uint64_t number :
         {std::uint64_t{1} << 24U,
          std::uint64_t{1} << 28U,
          std::uint64_t{1} << 62U,
          ~std::uint64_t{0}}) {
        for (const std::size_t offset : {count_offset, length_offset}) {
            REQUIRE_THROWS_AS(
                decode<texts>(with_number(whole, offset, number)), decode_error
            );
        }
    }
    CHECK(peak_memory_kib() - before < most_growth_kib);
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
