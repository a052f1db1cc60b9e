// The mapping from keys to slices, which must never change between releases.

#include <apricotstile/core/hashing.hpp>

#include <catch2/catch.hpp>

using apricotstile::slice_of;
using apricotstile::stable_hash;

TEST_CASE("hashes agree with xxHash64's published values", "[hashing]") {
    REQUIRE(stable_hash("") == 0xEF46DB3751D8E999ULL);
    REQUIRE(stable_hash("a") == 0xD24EC4F1A98C6E5BULL);
}

TEST_CASE("every slice number is below the number of slices", "[hashing]") {
    for (int number = 0; number < 1000; ++number) {
        REQUIRE(slice_of(std::to_string(number), 256).value < 256);
    }
}
