// Guards against callers that get no answer, two answers, another request's
// answer or a wrong outcome. Lost, late and duplicate messages, broken links
// and refusing hosts could cause that. The simulated hosts record what ran.

#include <apricotstile/request/ingress.hpp>
#include <apricotstile/request/request_snapshot.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <tuple>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::request;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t host_count = 3;

struct tracked_request {
    arrival sent;
    int runs{0};
    int answers{0};
    outcome reported{outcome::unknown};
};

struct frame_to_host {
    send_to_host sent;
};

struct frame_to_ingress {
    host_id from;
    routed_response response;
};

struct network {
    ingress state;
    instant now{1h};
    std::map<request_id, tracked_request> requests;
    std::vector<frame_to_host> outbound;
    std::vector<frame_to_ingress> inbound;
    std::vector<request_id> to_route;
    violation violation_found;
};

void expect(network& net, bool holds, const char* what) {
    if (!holds && !net.violation_found) {
        net.violation_found = what;
    }
}

void check_answer(network& net, const answer_caller& answer) {
    tracked_request& tracked = net.requests[answer.id];
    ++tracked.answers;
    tracked.reported = answer.outcome;
    expect(net, tracked.answers == 1, "answered twice");
    if (answer.outcome == outcome::answered) {
        const std::string whole = std::to_string(answer.id.value);
        expect(
            net, answer.response->body == whole, "answer of another request"
        );
    } else {
        expect(net, answer.retry_after > 0ns, "no time to retry after");
    }
    if (answer.outcome == outcome::not_run) {
        expect(
            net,
            tracked.runs == 0,
            "not_run was reported for a request that ran"
        );
    }
}

void apply_actions(network& net, const ingress_actions& actions) {
    for (const ingress_action& action : actions) {
        if (const auto* sent = std::get_if<send_to_host>(&action)) {
            net.outbound.push_back({*sent});
            const instant deadline = net.requests[sent->id].sent.deadline;
            expect(
                net,
                net.now + sent->time_left <= deadline,
                "sent with more time than the deadline leaves"
            );
        } else if (const auto* answer = std::get_if<answer_caller>(&action)) {
            check_answer(net, *answer);
        } else if (const auto* route = std::get_if<find_route>(&action)) {
            net.to_route.push_back(route->id);
        }
    }
}

void apply(network& net, const ingress_event& event) {
    apply_actions(net, step(net.state, event, net.now));
}

void arrive_one(network& net, move_reader& move) {
    arrival request;
    request.idempotent = move.below(2) == 0;
    request.keyed = move.below(2) == 0;
    request.deadline = net.now + 1ms * (1 + move.below(200));
    const request_id expected = next(net.state.last_id);
    net.requests[expected].sent = request;
    apply_actions(net, arrive(net.state, request, net.now).actions);
}

void route_one(network& net, move_reader& move) {
    if (net.to_route.empty()) {
        return;
    }
    const request_id id = net.to_route.front();
    net.to_route.erase(net.to_route.begin());
    if (move.below(16) == 0) {
        apply(net, no_route{id, refusal::no_owner, 0ns});
        return;
    }
    const host_id host{1 + move.below(host_count)};
    apply(net, route_found{id, host, net.state.map, 1ms});
}

routed_response refusal_of(const network& net, move_reader& move) {
    constexpr std::array reasons{
        refusal::overloaded,
        refusal::draining,
        refusal::not_owner,
        refusal::upstream_lost,
        refusal::quarantined};
    routed_response response;
    response.outcome = outcome::not_run;
    response.refusal = reasons.at(move.below(reasons.size()));
    response.responder_map.value = net.state.map.value + move.below(2);
    return response;
}

routed_response run_at_host(network& net, request_id id, move_reader& move) {
    tracked_request& tracked = net.requests[id];
    ++tracked.runs;
    expect(net, tracked.sent.idempotent || tracked.runs == 1, "ran twice");
    expect(net, tracked.reported != outcome::not_run, "ran after not_run");
    routed_response response;
    response.outcome = outcome::answered;
    response.body = std::to_string(id.value);
    if (move.below(4) == 0) {
        response = {};
        response.refusal = refusal::upstream_lost;
    }
    return response;
}

void deliver_to_host(network& net, std::size_t index, move_reader& move) {
    const send_to_host sent = net.outbound.at(index).sent;
    net.outbound.erase(
        net.outbound.begin() + static_cast<std::ptrdiff_t>(index)
    );
    const bool refuses = move.below(3) == 0;
    routed_response response =
        refuses ? refusal_of(net, move) : run_at_host(net, sent.id, move);
    response.id = sent.stream;
    net.inbound.push_back({sent.host, response});
}

void deliver_response(network& net, move_reader& move) {
    if (net.inbound.empty()) {
        return;
    }
    const std::size_t index =
        move.below(static_cast<std::uint32_t>(net.inbound.size()));
    const frame_to_ingress frame = net.inbound.at(index);
    const bool duplicated = move.below(4) == 0;
    if (!duplicated) {
        net.inbound.erase(
            net.inbound.begin() + static_cast<std::ptrdiff_t>(index)
        );
    }
    apply(net, response_arrived{frame.from, frame.response});
}

/// Breaks the link of one outbound frame, before or after the send.
void break_link(network& net, std::size_t index, move_reader& move) {
    const request_id stream = net.outbound.at(index).sent.stream;
    if (move.below(2) == 0) {
        net.outbound.erase(
            net.outbound.begin() + static_cast<std::ptrdiff_t>(index)
        );
        apply(net, send_failed{stream});
        return;
    }
    // The frame stays on the network and may still run.
    apply(net, link_lost{stream});
}

void apply_move(network& net, std::uint32_t number) {
    move_reader move{number};
    const std::uint32_t kind = move.below(16);
    const auto waiting = static_cast<std::uint32_t>(net.outbound.size());
    if (kind < 4) {
        arrive_one(net, move);
    } else if (kind < 8) {
        route_one(net, move);
    } else if (kind < 11 && waiting > 0) {
        deliver_to_host(net, move.below(waiting), move);
    } else if (kind == 11 && waiting > 0) {
        break_link(net, move.below(waiting), move);
    } else if (kind < 14) {
        deliver_response(net, move);
    } else if (kind == 14) {
        net.now += 1ms * move.below(50);
        apply(net, clock_ticked{});
        expect(net, next_wake_up(net.state) > net.now, "wake-up is overdue");
    } else if (move.below(2) == 0) {
        apply(net, map_changed{next(net.state.map)});
    } else {
        apply(net, caller_gone{{move.below(64)}});
    }
}

/// Delivers all frames on the network, then advances time past all deadlines.
void finish_all(network& net) {
    while (!net.outbound.empty()) {
        move_reader runs_and_answers{1};
        deliver_to_host(net, 0, runs_and_answers);
    }
    net.now += 1h;
    apply(net, clock_ticked{});
    for (const auto& [id, tracked] : net.requests) {
        expect(net, tracked.answers == 1, "never answered");
    }
    expect(net, net.state.attempts.empty(), "requests are left over");
    expect(net, net.state.streams.empty(), "streams are left over");
    expect(net, net.state.wake_ups.empty(), "wake-ups are left over");
}

violation run(const schedule& moves, const ingress_policy& policy) {
    network net;
    net.state.policy = policy;
    for (const std::uint32_t number : moves) {
        apply_move(net, number);
        const ingress_counters& counters = net.state.counters;
        expect(
            net,
            10 * counters.retries <= counters.first_sends,
            "more than one retry in ten sends"
        );
        if (net.violation_found) {
            return net.violation_found;
        }
    }
    finish_all(net);
    return net.violation_found;
}

int cases_until_detected(ingress_faults faults) {
    ingress_policy policy;
    policy.faults = faults;
    constexpr int limit = 20000;
    const int cases = cases_until_violation(
        [&](const schedule& moves) {
            return run(moves, policy);
        },
        limit
    );
    REQUIRE(cases <= limit);
    return cases;
}

/// One request in flight to host 1.
request_id send_one(ingress& state, const arrival& request) {
    const request_id id = arrive(state, request, instant{}).id;
    const auto sent = step(state, route_found{id, {1}, {4}, 0ns}, instant{});
    REQUIRE(std::holds_alternative<send_to_host>(sent.front()));
    return state.attempts.at(id).stream;
}

} // namespace

TEST_CASE("every caller gets exactly one correct answer", "[ingress]") {
    rc::prop("under any schedule of loss, delay and duplicates", [] {
        RC_ASSERT(run(*any_schedule(), ingress_policy{}) == violation{});
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, ingress_policy{});
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
}

TEST_CASE("injected faults of the ingress are detected", "[ingress][faults]") {
    ingress_faults unsafe;
    unsafe.retries_unknown_non_idempotent = true;
    WARN("retries what may have run: case " << cases_until_detected(unsafe));
    ingress_faults forgets;
    forgets.forgets_earlier_sends = true;
    WARN("forgets earlier sends: case " << cases_until_detected(forgets));
    ingress_faults storm;
    storm.ignores_retry_budget = true;
    WARN("ignores the retry budget: case " << cases_until_detected(storm));
    ingress_faults reuse;
    reuse.reuses_stream_ids = true;
    WARN("reuses stream ids: case " << cases_until_detected(reuse));
}

TEST_CASE(
    "a request is redirected at most once and waits for the newer map",
    "[ingress]"
) {
    ingress state;
    state.map = {4};
    const arrival request{false, true, instant{} + 1s};
    routed_response refused;
    refused.id = send_one(state, request);
    refused.outcome = outcome::not_run;
    refused.refusal = refusal::not_owner;
    refused.responder_map = {5};
    auto actions = step(state, response_arrived{{1}, refused}, instant{});
    REQUIRE(std::get<fetch_map>(actions.front()).version == map_version{5});
    actions = step(state, map_changed{{5}}, instant{});
    const request_id id = std::get<find_route>(actions.front()).id;
    std::ignore = step(state, route_found{id, {2}, {5}, 0ns}, instant{});
    refused.id = state.attempts.at(id).stream;
    refused.responder_map = {6};
    actions = step(state, response_arrived{{2}, refused}, instant{});
    REQUIRE(
        std::get<answer_caller>(actions.front()).outcome == outcome::not_run
    );
}

TEST_CASE(
    "a stopping ingress refuses new requests and finishes open ones",
    "[ingress]"
) {
    ingress state;
    const arrival request{true, true, instant{} + 1s};
    routed_response whole;
    whole.id = send_one(state, request);
    whole.outcome = outcome::answered;
    state.stopping = true;
    const auto refused = arrive(state, request, instant{}).actions;
    REQUIRE(
        std::get<answer_caller>(refused.front()).refusal == refusal::draining
    );
    const auto ended = step(state, response_arrived{{1}, whole}, instant{});
    REQUIRE(
        std::get<answer_caller>(ended.front()).outcome == outcome::answered
    );
}

TEST_CASE("the stream of a disconnected caller is cancelled", "[ingress]") {
    ingress state;
    const request_id stream = send_one(state, {true, true, instant{} + 1s});
    const request_id id = state.streams.at(stream);
    const auto actions = step(state, caller_gone{id}, instant{});
    REQUIRE(std::get<cancel_stream>(actions.front()).stream == stream);
    REQUIRE(state.attempts.empty());
}

TEST_CASE("a snapshot has a request in flight with its journal", "[ingress]") {
    ingress state;
    send_one(state, {true, true, instant{} + 1s});
    const ingress_snapshot shown = describe(state, instant{} + 300ms);
    REQUIRE(shown.attempts.size() == 1);
    const attempt_line& line = shown.attempts.front();
    REQUIRE(line.state == attempt_state::in_flight);
    REQUIRE(line.time_left == 700ms);
    REQUIRE(line.journal.size() == 2);
    REQUIRE(line.journal.back().step == journal_step::sent);
}

TEST_CASE("a request waits for an owner that isn't ready", "[ingress]") {
    ingress state;
    instant now{};
    routed_response refused;
    refused.id = send_one(state, {false, true, now + 1s});
    refused.outcome = outcome::not_run;
    refused.refusal = refusal::not_owner;
    const request_id id = state.streams.at(refused.id);
    for (const duration wait : {20ms, 40ms, 80ms, 160ms}) {
        REQUIRE(step(state, response_arrived{{1}, refused}, now).empty());
        REQUIRE(next_wake_up(state) == now + wait);
        now += wait;
        REQUIRE(step(state, clock_ticked{}, now).size() == 1);
        std::ignore = step(state, route_found{id, {1}, {4}, 0ns}, now);
        refused.id = state.attempts.at(id).stream;
    }
    const auto ended = step(state, response_arrived{{1}, refused}, now);
    REQUIRE(std::get<answer_caller>(ended.front()).outcome == outcome::not_run);
    REQUIRE(state.counters.retries == 0);
}
