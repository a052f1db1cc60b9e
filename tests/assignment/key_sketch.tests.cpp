// Tests of the key sketch with random requests. Guards against a hot key that
// is evicted and so never moved, against counts outside their error bounds, and
// against unbounded memory.

#include <apricotstile/assignment/key_sketch.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace apricotstile;
using namespace apricotstile::assignment;

TEST_CASE("The sketch contains every key above its threshold", "[sketch]") {
    rc::prop("counts stay within their error bounds", [] {
        const auto requests = *rc::gen::container<std::vector<int>>(
            500, rc::gen::resize(100, rc::gen::inRange(0, 60))
        );
        key_sketch sketch;
        sketch.capacity = 16;
        std::map<std::string, std::uint64_t> exact;
        for (const int drawn : requests) {
            // Squares divided by 60 make small numbers frequent.
            const auto key = std::to_string(drawn * drawn / 60);
            ++exact[key];
            count_key(sketch, service_id{"s"}, key);
        }
        RC_ASSERT(sketch.counts.size() <= sketch.capacity);
        RC_ASSERT(sketch.by_count.size() == sketch.counts.size());
        for (const auto& one : hottest_keys(sketch, sketch.capacity)) {
            RC_ASSERT(one.count >= exact[one.key]);
            RC_ASSERT(one.count - one.error <= exact[one.key]);
        }
        for (const auto& [key, count] : exact) {
            const bool hot = count > requests.size() / sketch.capacity;
            const bool held = sketch.counts.contains({service_id{"s"}, key});
            RC_ASSERT(!hot || held);
        }
    });
}
