// The choice of keys that carry a given load.

#include <apricotstile/keys/key_load.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::keys;

TEST_CASE("the fewest keys that carry the load are chosen", "[keys][load]") {
    key_load load;
    for (int i = 0; i < 100; ++i) {
        count_key(load, 500);
        count_key(load, 501);
        count_key(load, 900);
    }
    const auto hot = keys_with_load(load, {{0, 1000}}, 150, 250);
    REQUIRE(hot);
    CHECK(*hot == key_range{500, 501});
    CHECK(load_of(load, {0, 1000}) == 300);
}

TEST_CASE("one key that is hotter than wanted stays", "[keys][load]") {
    key_load load;
    for (int i = 0; i < 100; ++i) {
        count_key(load, 7);
    }
    CHECK_FALSE(keys_with_load(load, {{0, 1000}}, 40, 60));
}

TEST_CASE("counts fade", "[keys][load]") {
    key_load load;
    count_key(load, 3);
    decay(load);
    CHECK(load_of(load, {3, 3}) == 0.5);
}
