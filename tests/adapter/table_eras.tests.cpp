// Guards against versions and rows of one era that are taken for those of
// another.

#include <platform/table_eras.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;

namespace {

const platform::table_era second{2};
const platform::table_era third{3};

} // namespace

TEST_CASE("versions of a later era are higher", "[adapter][era]") {
    CHECK(version_in_era(9, platform::first_era).value == 9);
    CHECK(version_in_era(1, second) > version_in_era(1'000'000, {1}));
    CHECK(version_in_era(1, third) > version_in_era(1'000'000, second));
    CHECK(version_in_era(0, second).value == 0);
}

TEST_CASE("the store's version is known in its era only", "[adapter][era]") {
    CHECK(store_version(version_in_era(7, second), second) == 7);
    CHECK(store_version({}, second) == 0);
    CHECK_FALSE(store_version(version_in_era(7, second), third));
    CHECK_FALSE(store_version(version_in_era(7, {1}), second));
    CHECK_FALSE(store_version(version_in_era(7, second), {1}));
}

TEST_CASE("each era has rows of its own", "[adapter][era]") {
    CHECK(partition_in_era("p", platform::first_era) == "p");
    CHECK(partition_in_era("p", second) != partition_in_era("p", third));
    platform::transaction work;
    work.conditions = {{{"t/p/k"}, version_in_era(4, second)}};
    work.mutations = {{{"t//k"}, "x"}};
    const auto stored = transaction_in_era(work, second);
    REQUIRE(stored);
    CHECK(stored->conditions.front().version.value == 4);
    CHECK(key_without_era(stored->conditions.front().key).value == "t/p/k");
    CHECK(key_without_era(stored->mutations.front().key).value == "t//k");
    CHECK_FALSE(transaction_in_era(work, third));
}
