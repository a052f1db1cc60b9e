// Guards against requests sent to an instance that answers late or fails them:
// a full or slow one, one that has lost requests, or one that fails requests
// fast and so looks idle.

#include <apricotstile/serving/instance_choice.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

instance_view view_with(std::uint32_t running, duration service_time) {
    instance_view view;
    view.load = {14, running, 0, service_time};
    view.load_reported_at = start;
    return view;
}

host_id choose(const std::vector<candidate>& candidates) {
    random_source random{1};
    const auto chosen = choose_instance(candidates, {}, {250ms}, start, random);
    REQUIRE(chosen);
    return *chosen;
}

} // namespace

TEST_CASE(
    "instances in the region are chosen while they have free slots", "[choice]"
) {
    const instance_view busy = view_with(12, 50ms);
    const instance_view idle = view_with(0, 50ms);
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &busy},
             {host_id{2}, locality_tier::other_region, &idle}}
        ) == host_id{1}
    );
}

TEST_CASE(
    "an instance in another region is chosen when the near ones are full",
    "[choice]"
) {
    instance_view full = view_with(14, 50ms);
    full.load.waiting = 60;
    const instance_view idle = view_with(0, 50ms);
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &full},
             {host_id{2}, locality_tier::other_region, &idle}}
        ) == host_id{2}
    );
}

TEST_CASE("the faster of two instances is chosen", "[choice]") {
    const instance_view slow = view_with(3, 90ms);
    const instance_view fast = view_with(3, 40ms);
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &slow},
             {host_id{2}, locality_tier::region, &fast}}
        ) == host_id{2}
    );
}

TEST_CASE(
    "an instance without a reported service time is chosen over busy ones",
    "[choice]"
) {
    const instance_view known = view_with(5, 30ms);
    const instance_view unknown = view_with(0, 0ms);
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &known},
             {host_id{2}, locality_tier::region, &unknown}}
        ) == host_id{2}
    );
}

TEST_CASE(
    "an instance that was slow is chosen again once its report is stale",
    "[choice]"
) {
    const instance_view usual = view_with(6, 30ms);
    const instance_view other = view_with(6, 30ms);
    instance_view once_slow = view_with(0, 400ms);
    once_slow.load_reported_at = start - 2s;
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &usual},
             {host_id{2}, locality_tier::region, &other},
             {host_id{3}, locality_tier::region, &once_slow}}
        ) == host_id{3}
    );
}

TEST_CASE("an instance that lost a request is avoided for a time", "[choice]") {
    instance_view lossy = view_with(0, 30ms);
    const instance_view usual = view_with(6, 30ms);
    note_loss(lossy, {}, start);
    CHECK(
        choose(
            {{host_id{1}, locality_tier::region, &lossy},
             {host_id{2}, locality_tier::region, &usual}}
        ) == host_id{2}
    );
    const instant first = lossy.avoided_until;
    note_loss(lossy, {}, start);
    CHECK(lossy.avoided_until > first);
    CHECK(lossy.avoided_until <= start + choice_policy{}.max_loss_backoff);
}

TEST_CASE("an avoided instance is chosen if all are avoided", "[choice]") {
    instance_view lossy = view_with(0, 30ms);
    note_loss(lossy, {}, start);
    CHECK(choose({{host_id{1}, locality_tier::region, &lossy}}) == host_id{1});
}

TEST_CASE("an instance that fails requests fast isn't preferred", "[serving]") {
    instance_view good;
    good.load = {4, 4, 2, 100ms};
    good.load_reported_at = start;
    instance_view failing;
    failing.load = {4, 0, 0, 100ms, 600};
    failing.load_reported_at = start;
    const std::vector<candidate> both{
        {host_id{1}, locality_tier::region, &good},
        {host_id{2}, locality_tier::region, &failing}};
    random_source random{7};
    const auto chosen = [&](instant now) {
        return choose_instance(both, {}, {250ms}, now, random);
    };
    CHECK(chosen(start) == host_id{1});
    // It is chosen again once the failures have decayed.
    CHECK(chosen(start + 20s) == host_id{2});
}

TEST_CASE("instances that fail equally are chosen by latency", "[serving]") {
    instance_view idle;
    idle.load = {4, 0, 0, 100ms, 500};
    idle.load_reported_at = start;
    instance_view busy = idle;
    busy.load.running = 6;
    const std::vector<candidate> both{
        {host_id{1}, locality_tier::region, &busy},
        {host_id{2}, locality_tier::region, &idle}};
    random_source random{7};
    CHECK(choose_instance(both, {}, {250ms}, start, random) == host_id{2});
}

TEST_CASE(
    "large answers come from the caller's failure domain while it has room",
    "[choice]"
) {
    // Downloads crossed failure domains for a few milliseconds' gain.
    instance_view near = view_with(10, 60ms);
    const instance_view far = view_with(2, 50ms);
    const auto chosen = [&](double answer_bytes) {
        random_source random{1};
        return choose_instance(
            {{host_id{1}, locality_tier::failure_domain, &near},
             {host_id{2}, locality_tier::region, &far}},
            {},
            {800ms, answer_bytes},
            start,
            random
        );
    };
    CHECK(chosen(90'000) == host_id{1});
    CHECK(chosen(2'000) == host_id{2});
    near.load.waiting = 90;
    CHECK(chosen(90'000) == host_id{2});
}
