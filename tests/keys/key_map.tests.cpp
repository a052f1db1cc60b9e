// Guards against key maps with gaps, overlapping ranges or tokens that don't
// increase, and against handovers that are passed on for a part of their range.

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/key_map.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::keys;

namespace {

key_map evenly_split_map(std::size_t owners) {
    key_map map;
    std::vector<transfer> transfers;
    std::uint64_t host = 0;
    for (const key_range& range : even_split(owners)) {
        ++host;
        transfers.push_back({range, host_id{host}, {"i", 1}, ""});
    }
    apply_transfers(map, transfers);
    return map;
}

} // namespace

TEST_CASE("an even split covers every key once", "[keys][map]") {
    rc::prop("any number of owners", [] {
        const auto owners = *rc::gen::inRange<std::size_t>(1, 300);
        const std::vector<key_range> ranges = even_split(owners);
        RC_ASSERT(ranges.size() == owners);
        key_number next = 0;
        for (const key_range& range : ranges) {
            RC_ASSERT(range.first == next);
            next = range.last + 1;
        }
        RC_ASSERT(next == key_count);
    });
}

TEST_CASE("transfers keep ranges disjoint and tokens rising", "[keys][map]") {
    rc::prop("any transfers", [] {
        key_map map = evenly_split_map(4);
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const auto first = *rc::gen::inRange<key_number>(0, key_count);
            const auto last = *rc::gen::inRange<key_number>(first, key_count);
            const fencing_token before = map.last_fence;
            apply_transfers(map, {{{first, last}, host_id{9}, {"j", 2}, "h"}});
            RC_ASSERT(map.last_fence > before);
            const owned_range* const owner = find_owned_range(map, first);
            RC_ASSERT(owner != nullptr);
            RC_ASSERT(owner->owner == host_id{9});
            RC_ASSERT(owner->fence == map.last_fence);
        }
        key_number next = 0;
        for (const owned_range& range : map.ranges) {
            RC_ASSERT(range.keys.first == next);
            next = range.keys.last + 1;
        }
        RC_ASSERT(next == key_count);
        RC_ASSERT(decode<key_map>(encode(map)).ranges == map.ranges);
    });
}

TEST_CASE("a handover is dropped when its range is split", "[keys][map]") {
    key_map map;
    apply_transfers(map, {{{0, 99}, host_id{1}, {"i", 1}, "warm"}});
    apply_transfers(map, {{{40, 49}, host_id{2}, {"j", 1}, ""}});
    CHECK(find_owned_range(map, 0)->handover.empty());
    CHECK(find_owned_range(map, 99)->handover.empty());
    CHECK(find_owned_range(map, 100) == nullptr);
}
