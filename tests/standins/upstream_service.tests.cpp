// Admission, fencing, deadlines and cancellation of the upstream stand-in.

#include <standins/upstream/health_report.hpp>
#include <standins/upstream/upstream_service.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::standins;
using namespace std::chrono_literals;

namespace {

constexpr instant start{};
const service_id registry{"registry"};

struct fixture {
    upstream_service upstream;
    random_source random{1};
    std::uint64_t last{0};

    fixture() {
        upstream.services[registry].settings = {registry, 256, 2, 10, 1};
        upstream.times = {4ms, distribution::fixed, 0ms, 1};
        const grant_message message{1s, {{registry, slice_id{3}, {7}}}};
        add_grants(upstream.granted, message, start);
    }

    work_item next_item() {
        ++this->last;
        work_item item;
        item.id.value = this->last;
        item.request_name = std::to_string(this->last);
        item.service = registry;
        item.slice.value = 3;
        item.token.value = 7;
        item.deadline = start + 1s;
        return item;
    }

    work_actions arrive_at(const work_item& item, instant now) {
        return arrive(this->upstream, item, now, this->random);
    }
};

bool is_start(const work_actions& actions) {
    return actions.size() == 1 &&
           std::holds_alternative<work_started>(actions[0]);
}

bool is_refusal(const work_actions& actions, work_refusal reason) {
    return actions.size() == 1 &&
           std::holds_alternative<work_refused>(actions[0]) &&
           std::get<work_refused>(actions[0]).reason == reason;
}

} // namespace

TEST_CASE("work takes slots, then waits, then is shed", "[standins]") {
    fixture at;
    REQUIRE(is_start(at.arrive_at(at.next_item(), start)));
    REQUIRE(is_start(at.arrive_at(at.next_item(), start)));
    REQUIRE(at.arrive_at(at.next_item(), start).empty());
    const auto fourth = at.arrive_at(at.next_item(), start);
    REQUIRE(is_refusal(fourth, work_refusal::shed));
    REQUIRE(load_of(at.upstream) == 1.0);

    const auto next =
        finish(at.upstream, registry, work_id{1}, start, at.random);
    REQUIRE(is_start(next));
    REQUIRE(in_flight(at.upstream) == 2);
}

TEST_CASE("work without the granted token is refused", "[standins]") {
    fixture at;
    work_item stale = at.next_item();
    stale.token.value = 6;
    const auto refused = at.arrive_at(stale, start);
    REQUIRE(is_refusal(refused, work_refusal::stale_token));

    at.upstream.checks_tokens = false;
    REQUIRE(is_start(at.arrive_at(stale, start)));
}

TEST_CASE("grants run out unless they are extended", "[standins]") {
    fixture at;
    const auto late = at.arrive_at(at.next_item(), start + 1s - 1ns);
    REQUIRE(is_start(late));
    work_item after = at.next_item();
    after.deadline = start + 10s;
    const auto refused = at.arrive_at(after, start + 1s);
    REQUIRE(is_refusal(refused, work_refusal::stale_token));

    add_grants(at.upstream.granted, {1s, {}}, start + 1s);
    REQUIRE(is_start(at.arrive_at(after, start + 1s)));
}

TEST_CASE("granted tokens never fall", "[standins]") {
    fixture at;
    add_grants(
        at.upstream.granted, {1s, {{registry, slice_id{3}, {5}}}}, start
    );
    REQUIRE(is_start(at.arrive_at(at.next_item(), start)));
}

TEST_CASE("work is given up at its deadline", "[standins]") {
    fixture at;
    work_item item = at.next_item();
    item.deadline = start + 3ms;
    const auto actions = at.arrive_at(item, start);
    REQUIRE(is_start(actions));
    REQUIRE(std::get<work_started>(actions[0]).takes == 3ms);
    REQUIRE(std::get<work_started>(actions[0]).cut_by_deadline);

    const auto late = at.arrive_at(item, start + 3ms);
    REQUIRE(is_refusal(late, work_refusal::deadline_passed));
}

TEST_CASE("cancelled work either stops or never runs", "[standins]") {
    fixture at;
    for (int count = 0; count < 3; ++count) {
        (void)at.arrive_at(at.next_item(), start);
    }
    const auto waiting = cancel(at.upstream, "3", start, at.random);
    REQUIRE(is_refusal(waiting, work_refusal::cancelled));
    const auto running = cancel(at.upstream, "1", start, at.random);
    REQUIRE(running.size() == 1);
    REQUIRE(std::holds_alternative<work_stopped>(running[0]));
    REQUIRE(cancel(at.upstream, "1", start, at.random).empty());
    REQUIRE(in_flight(at.upstream) == 1);
}

TEST_CASE("service times are longer while the process is cold", "[standins]") {
    random_source random{1};
    const service_time times{4ms, distribution::fixed, 10s, 3};
    REQUIRE(draw(times, 0s, random) == 12ms);
    REQUIRE(draw(times, 5s, random) == 8ms);
    REQUIRE(draw(times, 10s, random) == 4ms);
}

TEST_CASE("health tells of the load some time ago", "[standins]") {
    health_report health{1s, false, {}};
    note_load(health, 0.25, start);
    note_load(health, 0.75, start + 500ms);
    REQUIRE(told(health, start + 1s) == R"({"load":0.25,"ok":true})");
    REQUIRE(told(health, start + 1500ms) == R"({"load":0.75,"ok":true})");
    health.lies = true;
    REQUIRE(told(health, start + 1500ms) == R"({"load":0.0,"ok":true})");
}
