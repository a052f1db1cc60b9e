// Guards against small answers that wait behind large ones on a saturated link,
// large ones that leave too late to be of use or are held without bound, and
// requests that run although their answers can't be transferred in time.

#include <apricotstile/serving/egress_schedule.hpp>

#include <apricotstile/core/random.hpp>

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr double ten_mbit = 1'250'000;
constexpr std::size_t kib = 1024;
const instant start{1000s};

egress_schedule ten_mbit_schedule() {
    egress_schedule schedule;
    schedule.policy.bytes_per_second = ten_mbit;
    return schedule;
}

bool always(egress_id) {
    return true;
}

/// Runs the schedule until nothing is held, or until `end`. Returns the actions
/// that end an answer, with their times.
std::vector<std::pair<instant, egress_action>>
run_until(egress_schedule& schedule, instant now, instant end = start + 100s) {
    std::vector<std::pair<instant, egress_action>> ended;
    while (now <= end) {
        for (const egress_action& one : release_due(schedule, now, always)) {
            if (one.decision != egress_decision::send || one.is_last) {
                ended.emplace_back(now, one);
            }
        }
        const auto due = next_release(schedule);
        if (!due) {
            break;
        }
        now = std::max(now, *due);
    }
    return ended;
}

void learn(egress_schedule& schedule, std::uint32_t route, std::size_t bytes) {
    for (int i = 0; i < 200; ++i) {
        note_size(schedule, route, bytes, start);
    }
}

egress_request request_for(std::uint64_t id, duration deadline) {
    egress_request request;
    request.id = {id};
    request.route = 1;
    request.service_time = 50ms;
    request.target = start + deadline;
    request.deadline = start + deadline;
    return request;
}

} // namespace

TEST_CASE(
    "nothing is large or refused without a link rate", "[serving][egress]"
) {
    egress_schedule schedule;
    note_size(schedule, 1, 1U << 20U, start);
    CHECK_FALSE(is_large(schedule, 1U << 20U));
    CHECK_FALSE(admit(schedule, request_for(1, 1ms), start));
    CHECK(schedule.expected.empty());
    CHECK(schedule.route_sizes.empty());
    reported_load load;
    load.mean_service_time = 50ms;
    CHECK(with_link_load(schedule, load, start).waiting == 0);
}

TEST_CASE(
    "answers leave in the order of their deadlines", "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 100 * kib, start + 9s);
    hold(schedule, {2}, 100 * kib, start + 3s);
    hold(schedule, {3}, 100 * kib, start + 6s);
    const auto ended = run_until(schedule, start);
    REQUIRE(ended.size() == 3);
    CHECK(ended[0].second.id == egress_id{2});
    CHECK(ended[1].second.id == egress_id{3});
    CHECK(ended[2].second.id == egress_id{1});
}

TEST_CASE(
    "an urgent answer overtakes one whose first parts have left",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 500 * kib, start + 9s);
    CHECK(run_until(schedule, start, start + 100ms).empty());
    hold(schedule, {2}, 50 * kib, start + 1s);
    const auto ended = run_until(schedule, start + 100ms);
    REQUIRE(ended.size() == 2);
    CHECK(ended[0].second.id == egress_id{2});
}

TEST_CASE(
    "parts are spaced at the link's rate less the reserve", "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 1'062'500, start + 9s);
    std::size_t sent = 0;
    const auto largest = static_cast<std::size_t>(
        ten_mbit * (1 - schedule.policy.reserve) * 0.02
    );
    instant now = start;
    while (const auto due = next_release(schedule)) {
        now = std::max(now, *due);
        for (const egress_action& one : release_due(schedule, now, always)) {
            REQUIRE(one.bytes <= largest);
            sent += one.bytes;
        }
        // Two parts are the tolerance for late wake-ups, and one byte that for
        // rounding.
        const double seconds =
            std::chrono::duration<double>(now - start).count();
        REQUIRE(
            static_cast<double>(sent) <=
            seconds * ten_mbit * 0.85 + 2.0 * static_cast<double>(largest) + 1
        );
    }
    CHECK(sent == 1'062'500);
    CHECK(now - start > 900ms);
    CHECK(now - start < 1100ms);
}

TEST_CASE(
    "an answer that can't leave by its deadline isn't sent", "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    // It takes half a second.
    hold(schedule, {1}, 531'250, start + 300ms);
    const auto actions = release_due(schedule, start, always);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].decision == egress_decision::give_up_late);
    CHECK(schedule.given_up_late == 1);
    CHECK(schedule.held_bytes == 0);
    CHECK_FALSE(next_release(schedule));
}

TEST_CASE(
    "of answers that can't all be in time the largest is given up",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 100 * kib, start + 500ms);
    hold(schedule, {2}, 400 * kib, start + 600ms);
    hold(schedule, {3}, 100 * kib, start + 600ms);
    hold(schedule, {4}, 100 * kib, start + 600ms);
    const auto ended = run_until(schedule, start);
    REQUIRE(ended.size() == 4);
    CHECK(ended[0].second.id == egress_id{2});
    CHECK(ended[0].second.decision == egress_decision::give_up_late);
    for (std::size_t i = 1; i < ended.size(); ++i) {
        CHECK(ended[i].second.decision == egress_decision::send);
        CHECK(ended[i].first <= start + 600ms);
    }
}

TEST_CASE(
    "beyond the memory limit the answer with the latest deadline is given up",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    schedule.policy.max_held_bytes = 300 * kib;
    hold(schedule, {1}, 100 * kib, start + 3s);
    hold(schedule, {2}, 100 * kib, start + 9s);
    hold(schedule, {3}, 100 * kib, start + 5s);
    hold(schedule, {4}, 100 * kib, start + 4s);
    const auto actions = release_due(schedule, start, always);
    REQUIRE(!actions.empty());
    CHECK(actions[0].id == egress_id{2});
    CHECK(actions[0].decision == egress_decision::give_up_for_memory);
    CHECK(schedule.held_bytes <= schedule.policy.max_held_bytes);
    CHECK(schedule.given_up_for_memory == 1);
}

TEST_CASE(
    "a connection that takes no bytes doesn't delay the others",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 100 * kib, start + 1s);
    hold(schedule, {2}, 100 * kib, start + 9s);
    const auto only_second = [](egress_id id) {
        return id == egress_id{2};
    };
    std::set<std::uint64_t> sent;
    for (instant now = start; now < start + 300ms; now += 10ms) {
        for (const egress_action& one :
             release_due(schedule, now, only_second)) {
            sent.insert(one.id.value);
        }
    }
    CHECK(sent == std::set<std::uint64_t>{2});
    CHECK(schedule.held.size() == 1);
    // It isn't asked again at once, which would keep the processor busy.
    static_cast<void>(release_due(schedule, start + 300ms, only_second));
    CHECK(*next_release(schedule) > start + 300ms);
}

TEST_CASE("a withdrawn answer frees the link", "[serving][egress]") {
    egress_schedule schedule = ten_mbit_schedule();
    hold(schedule, {1}, 500 * kib, start + 9s);
    CHECK(run_until(schedule, start, start + 50ms).empty());
    withdraw(schedule, {1});
    CHECK(schedule.held_bytes == 0);
    CHECK(backlog(schedule, start + 200ms) == 0s);
}

TEST_CASE(
    "a request whose answer couldn't be transferred in time is refused",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    learn(schedule, 1, 90'000);
    learn(schedule, 2, 800);
    std::uint64_t admitted = 0;
    std::optional<egress_refusal> refusal;
    while (!refusal && admitted < 100) {
        refusal = admit(schedule, request_for(admitted + 1, 800ms), start);
        admitted += refusal ? 0 : 1;
    }
    // 800 ms x 0.85 at 1,062.5 KB/s.
    CHECK(admitted == 8);
    REQUIRE(refusal);
    CHECK(refusal->retry_after >= 20ms);
    CHECK(refusal->retry_after < 700ms);

    SECTION("small answers aren't affected") {
        egress_request small = request_for(200, 100ms);
        small.route = 2;
        CHECK_FALSE(admit(schedule, small, start));
    }
    SECTION("nested requests aren't affected, and count") {
        egress_request nested = request_for(200, 400ms);
        nested.nested = true;
        CHECK_FALSE(admit(schedule, nested, start));
        CHECK(schedule.expected.size() == admitted + 1);
    }
    SECTION("a later deadline waits behind the others") {
        CHECK_FALSE(admit(schedule, request_for(200, 2500ms), start));
    }
    SECTION("an earlier deadline isn't served at the cost of the others") {
        schedule.policy.target_fraction = 1;
        for (std::uint64_t id = 300; id < 320; ++id) {
            static_cast<void>(admit(schedule, request_for(id, 800ms), start));
        }
        CHECK(admit(schedule, request_for(400, 300ms), start));
    }
    SECTION("a request that has ended leaves room for another one") {
        note_end(schedule, {1});
        CHECK_FALSE(admit(schedule, request_for(200, 800ms), start));
    }
}

TEST_CASE(
    "a request that is late already is measured by its deadline",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    learn(schedule, 1, 90'000);
    egress_request request = request_for(1, 2500ms);
    request.target = start - 100ms;
    CHECK_FALSE(admit(schedule, request, start));
    // It doesn't wait for others: 9 answers take 0.76 s.
    for (std::uint64_t id = 2; id <= 10; ++id) {
        hold(schedule, {id}, 90'000, start + 2s);
    }
    request.id = {11};
    CHECK(admit(schedule, request, start));
    request.target = start + 1500ms;
    CHECK_FALSE(admit(schedule, request, start));
}

TEST_CASE(
    "a route whose requests are all refused is tried again", "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    learn(schedule, 1, 5'000'000);
    CHECK(admit(schedule, request_for(1, 2500ms), start));
    const instant later = start + 40s;
    egress_request request = request_for(2, 2500ms);
    request.target = later + 2500ms;
    request.deadline = later + 2500ms;
    CHECK_FALSE(admit(schedule, request, later));
    note_end(schedule, {2});
    // Its answer shows whether the mean was right.
    note_size(schedule, 1, 5'000'000, later);
    request.id = {3};
    CHECK(admit(schedule, request, later));
}

TEST_CASE("the sizes of few routes are kept", "[serving][egress]") {
    egress_schedule schedule = ten_mbit_schedule();
    schedule.policy.max_routes = 4;
    for (std::uint32_t route = 0; route < 100; ++route) {
        note_size(schedule, 1000, 50'000, start);
        note_size(schedule, route, 1000 + route, start);
    }
    CHECK(schedule.route_sizes.size() == 4);
    CHECK(expected_bytes(schedule, 1000, start) == 50'000);
    CHECK(expected_bytes(schedule, 99, start) == 1099);
    CHECK(expected_bytes(schedule, 5, start) == 0);
}

TEST_CASE(
    "a saturated link makes the instance look slower by the link's delay",
    "[serving][egress]"
) {
    egress_schedule schedule = ten_mbit_schedule();
    learn(schedule, 1, 90'000);
    instance_view before;
    before.load.slots = 8;
    before.load.running = 2;
    before.load.mean_service_time = 50ms;
    instance_view after = before;
    after.load = with_link_load(schedule, before.load, start);
    CHECK(after.load.waiting == 0);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        static_cast<void>(admit(schedule, request_for(id, 800ms), start));
    }
    const duration wait = backlog(schedule, start);
    REQUIRE(wait > 600ms);
    after.load = with_link_load(schedule, before.load, start);
    const duration added =
        expected_latency(after, 50ms) - expected_latency(before, 50ms);
    CHECK(added > scaled(wait, 0.9));
    CHECK(added < scaled(wait, 1.25));
}

TEST_CASE("schedules keep their invariants", "[serving][egress]") {
    rc::check("random answers", [] {
        egress_schedule schedule = ten_mbit_schedule();
        schedule.policy.max_held_bytes = 1U << 20U;
        instant now = start;
        std::map<egress_id, std::pair<std::size_t, instant>> open;
        std::uint64_t last = 0;
        const auto steps = *rc::gen::container<
            std::vector<std::tuple<int, std::size_t, std::size_t>>>(
            rc::gen::tuple(
                rc::gen::inRange(0, 10),
                rc::gen::inRange<std::size_t>(17'000, 540'000),
                rc::gen::inRange<std::size_t>(1, 2500)
            )
        );
        for (const auto& [kind, bytes, delay] : steps) {
            if (kind < 5) {
                const egress_id id{++last};
                const instant deadline = now + std::chrono::milliseconds{delay};
                hold(schedule, id, bytes, deadline);
                open[id] = {bytes, deadline};
            } else if (kind == 5 && !open.empty()) {
                withdraw(schedule, open.begin()->first);
                open.erase(open.begin());
            } else {
                now += std::chrono::milliseconds{delay % 50};
            }
            for (const egress_action& one :
                 release_due(schedule, now, always)) {
                const auto found = open.find(one.id);
                RC_ASSERT(found != open.end());
                if (one.decision != egress_decision::send) {
                    open.erase(found);
                    continue;
                }
                RC_ASSERT(one.bytes > 0U);
                RC_ASSERT(one.bytes <= found->second.first);
                RC_ASSERT(now <= found->second.second);
                found->second.first -= one.bytes;
                RC_ASSERT(one.is_last == (found->second.first == 0));
                if (one.is_last) {
                    open.erase(found);
                }
            }
            RC_ASSERT(schedule.held.size() == open.size());
            RC_ASSERT(schedule.positions.size() == open.size());
            RC_ASSERT(schedule.held_bytes <= schedule.policy.max_held_bytes);
            RC_ASSERT(next_release(schedule).has_value() == !open.empty());
        }
    });
}
