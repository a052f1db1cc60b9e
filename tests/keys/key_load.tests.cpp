// Guards against moves of the wrong load: a range that is larger than needed, a
// single key with more load than wanted, or a load in the wrong unit.

#include <apricotstile/keys/key_load.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::keys;
using namespace std::chrono_literals;

TEST_CASE("the smallest range with enough load is chosen", "[keys][load]") {
    key_load load;
    for (int i = 0; i < 100; ++i) {
        add_key_work(load, 500, 1s);
        add_key_work(load, 501, 1s);
        add_key_work(load, 900, 1s);
    }
    const auto hot = keys_with_load(load, {{0, 1000}}, 150, 250);
    REQUIRE(hot);
    CHECK(*hot == key_range{500, 501});
    CHECK(range_load(load, {0, 1000}) == 300);
}

TEST_CASE("a key with more load than wanted isn't chosen", "[keys][load]") {
    key_load load;
    for (int i = 0; i < 100; ++i) {
        add_key_work(load, 7, 1s);
    }
    CHECK_FALSE(keys_with_load(load, {{0, 1000}}, 40, 60));
}

TEST_CASE("a constant load converts to the slots it uses", "[keys][load]") {
    key_load load;
    for (int step = 0; step < 40; ++step) {
        // Six requests of 250 ms in each half second.
        for (int i = 0; i < 6; ++i) {
            add_key_work(load, 3, 250ms);
        }
        decay_load(load);
    }
    CHECK(busy_slots(range_load(load, {3, 3})) == Approx(3).epsilon(0.01));
}

TEST_CASE("recorded load decays within seconds", "[keys][load]") {
    key_load load;
    add_key_work(load, 3, 1s);
    for (int step = 0; step < 10; ++step) {
        decay_load(load);
    }
    CHECK(range_load(load, {3, 3}) < 0.05);
}
