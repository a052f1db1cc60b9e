// Guards against entries that arrive out of order and replace newer ones, and
// against instances listed as ready that aren't.

#include <apricotstile/directory/directory.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using apricotstile::directory::instance_state;
using apricotstile::directory::member_entry;
using apricotstile::directory::merge_entry;

TEST_CASE(
    "the newest entry is kept for any order of arrival", "[directory][property]"
) {
    rc::prop("the entry of the highest run and change is kept", [] {
        const auto updates = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 5))
            )
        );
        directory::directory known;
        for (const auto& [run, change] : updates) {
            member_entry one;
            one.host = host_id{7};
            one.run = incarnation{static_cast<std::uint64_t>(run)};
            one.revision = static_cast<std::uint64_t>(change);
            merge_entry(known, one);
        }
        const auto newest = *std::max_element(updates.begin(), updates.end());
        const member_entry& kept = known.entries.at(host_id{7});
        RC_ASSERT(kept.run.value == static_cast<std::uint64_t>(newest.first));
        RC_ASSERT(kept.revision == static_cast<std::uint64_t>(newest.second));
    });
}

TEST_CASE("only ready instances of the service are listed", "[directory]") {
    directory::directory known;
    for (std::uint64_t host = 1; host <= 3; ++host) {
        member_entry one;
        one.host = host_id{host};
        one.service = {host == 3 ? "other" : "registry"};
        one.state =
            host == 2 ? instance_state::draining : instance_state::ready;
        merge_entry(known, one);
    }
    const auto ready = directory::ready_instances(known, {"registry"});
    REQUIRE(ready.size() == 1);
    CHECK(ready.front()->host == host_id{1});
}
