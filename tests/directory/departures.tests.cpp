// Guards against departures that are lost or taken back when they are merged,
// and against those of one run that bind a later one.

#include <apricotstile/directory/directory.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using directory::add_departure;
using directory::add_departures;
using directory::departures;
using directory::has_departed;
using directory::instance_run;
using directory::instance_state;
using directory::max_departures;
using directory::member_entry;
using directory::merge_entry;
using directory::ready_instances;

namespace {

departures random_departures(std::size_t ids) {
    departures result;
    const auto drawn =
        *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            rc::gen::pair(
                rc::gen::inRange<std::size_t>(0, ids), rc::gen::inRange(1, 9)
            )
        );
    for (const auto& [id, start] : drawn) {
        result.push_back({"i" + std::to_string(id), start});
    }
    return result;
}

} // namespace

TEST_CASE("a departure binds its run and earlier ones", "[directory]") {
    departures known;
    CHECK(add_departure(known, {"i1", 5}));
    CHECK(has_departed(known, {"i1", 5}));
    CHECK(has_departed(known, {"i1", 4}));
    CHECK_FALSE(has_departed(known, {"i1", 6}));
    CHECK_FALSE(has_departed(known, {"i2", 5}));
}

TEST_CASE(
    "departures are the same for any order of arrival", "[directory][property]"
) {
    rc::prop("each of a few instances departs by its latest start", [] {
        departures forwards;
        departures backwards;
        departures added = random_departures(max_departures);
        add_departures(forwards, added);
        std::reverse(added.begin(), added.end());
        add_departures(backwards, added);
        for (const directory::departure& one : added) {
            RC_ASSERT(
                has_departed(forwards, {one.instance_id, one.latest_start_ms})
            );
            const instance_run next{one.instance_id, one.latest_start_ms + 1};
            RC_ASSERT(
                has_departed(forwards, next) == has_departed(backwards, next)
            );
        }
    });
    rc::prop("their number is bounded", [] {
        departures known;
        add_departures(known, random_departures(3 * max_departures));
        RC_ASSERT(known.size() <= max_departures);
    });
}

TEST_CASE(
    "an entry of a later run of the daemon doesn't take back a departure",
    "[directory]"
) {
    directory::directory known;
    member_entry before;
    before.host = host_id{1};
    before.run = incarnation{1};
    before.service = {"s"};
    before.instance = {"i1", 5};
    before.known_departures = {{"i1", 5}};
    merge_entry(known, before);
    member_entry after = before;
    after.run = incarnation{2};
    after.state = instance_state::ready;
    after.known_departures.clear();
    merge_entry(known, after);
    CHECK(ready_instances(known, {"s"}).empty());
    after.revision = 1;
    after.instance = {"i1", 6};
    merge_entry(known, after);
    CHECK(ready_instances(known, {"s"}).size() == 1);
}
