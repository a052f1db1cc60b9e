// Guards against maps that differ between daemons, which happens if changes
// that arrive out of order are applied too early, twice or not at all.

#include <apricotstile/keys/key_map_change.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::keys;

namespace {

key_map_change change(std::uint64_t from, std::uint64_t to, key_range keys) {
    return {
        {"registry"}, {from}, {to}, {{keys, host_id{to}, {"i", 1}, "warm"}}};
}

} // namespace

TEST_CASE("changes in order give the writer's map", "[keys][change]") {
    versioned_map known;
    CHECK(apply_change(known, change(0, 3, {0, 99})) == change_result::applied);
    CHECK(
        apply_change(known, change(3, 7, {50, 59})) == change_result::applied
    );
    key_map written;
    apply_transfers(written, change(0, 3, {0, 99}).transfers);
    apply_transfers(written, change(3, 7, {50, 59}).transfers);
    CHECK(known.map.ranges == written.ranges);
    CHECK(known.map.last_fence == written.last_fence);
    CHECK(known.version == platform::row_version{7});
}

TEST_CASE("changes that arrive out of order fill the gap", "[keys]") {
    versioned_map known;
    static_cast<void>(apply_change(known, change(0, 3, {0, 99})));
    CHECK(apply_change(known, change(9, 12, {7, 8})) == change_result::gap);
    CHECK(apply_change(known, change(5, 9, {50, 59})) == change_result::gap);
    CHECK_FALSE(known.buffered.empty());
    CHECK(
        apply_change(known, change(3, 5, {40, 70})) == change_result::applied
    );
    CHECK(known.version == platform::row_version{12});
    CHECK(known.buffered.empty());
    key_map written;
    for (const key_map_change& one :
         {change(0, 3, {0, 99}),
          change(3, 5, {40, 70}),
          change(5, 9, {50, 59}),
          change(9, 12, {7, 8})}) {
        apply_transfers(written, one.transfers);
    }
    CHECK(known.map.ranges == written.ranges);
}

TEST_CASE("a newer map drops the changes that it contains", "[keys][change]") {
    versioned_map known;
    CHECK(apply_change(known, change(5, 9, {50, 59})) == change_result::gap);
    CHECK(apply_change(known, change(12, 14, {0, 9})) == change_result::gap);
    known.version = {10};
    apply_buffered_changes(known);
    CHECK(known.buffered.size() == 1);
    known.version = {12};
    apply_buffered_changes(known);
    CHECK(known.version == platform::row_version{14});
    CHECK(known.buffered.empty());
}

TEST_CASE("a gap and an old change leave the map as it is", "[keys]") {
    versioned_map known;
    static_cast<void>(apply_change(known, change(0, 3, {0, 99})));
    const auto before = known.map.ranges;
    CHECK(apply_change(known, change(5, 7, {50, 59})) == change_result::gap);
    CHECK(
        apply_change(known, change(0, 3, {50, 59})) ==
        change_result::already_applied
    );
    CHECK(known.map.ranges == before);
}
