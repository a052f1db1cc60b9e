// The sketch of the hottest keys: bounded, and sure to hold the hot ones.

#include <apricotstile/assignment/key_sketch.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace apricotstile;
using namespace apricotstile::assignment;

TEST_CASE("the sketch holds every key above its share", "[sketch]") {
    rc::prop("and bounds each count", [] {
        const auto requests = *rc::gen::container<std::vector<int>>(
            500, rc::gen::resize(100, rc::gen::inRange(0, 60))
        );
        key_sketch sketch;
        sketch.capacity = 16;
        std::map<std::string, std::uint64_t> exact;
        for (const int drawn : requests) {
            // Squaring makes small numbers frequent.
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
