// A request that crashes upstreams must be refused after a few crashes, on
// whichever host it arrives; requests that were only in flight at the same time
// must never be refused. Random schedules of sends, crashes, and late, repeated
// or reordered reports look for an order of events that breaks this.

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/quarantine.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <set>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t host_count = 3;
constexpr std::uint64_t request_count = 10;
constexpr std::uint64_t poison_count = 2;

/// One owner's daemon and the requests that its upstream is running.
struct host {
    quarantine state;
    std::set<std::uint64_t> running;
    bool running_alone{false};
};

struct model {
    std::array<host, host_count> hosts;
    instant now{24h};
    std::array<std::uint32_t, poison_count> crashes{};
    std::vector<std::pair<std::size_t, crash_report>> undelivered;
    violation broken;
};

bool is_poison(std::uint64_t id) {
    return id < poison_count;
}

void broadcast(model& it, const std::vector<crash_report>& reports) {
    for (const crash_report& report : reports) {
        for (std::size_t i = 0; i < host_count; ++i) {
            it.undelivered.emplace_back(i, report);
        }
    }
}

void deliver(model& it, std::size_t index, bool keep) {
    const auto [to, report] = it.undelivered.at(index);
    if (!keep) {
        it.undelivered.erase(
            it.undelivered.begin() + static_cast<std::ptrdiff_t>(index)
        );
    }
    merge(it.hosts.at(to).state, report, it.now);
}

/// The bound on crashes holds only if reports arrive before the next retry.
void deliver_all(model& it) {
    while (!it.undelivered.empty()) {
        deliver(it, it.undelivered.size() - 1, false);
    }
}

bool runs_somewhere(const model& it, std::uint64_t id) {
    return std::any_of(it.hosts.begin(), it.hosts.end(), [&](const host& one) {
        return one.running.contains(id);
    });
}

void send(model& it, std::size_t to, std::uint64_t id) {
    host& target = it.hosts.at(to);
    // The caller retries only after its last attempt has ended.
    if (target.running_alone || runs_somewhere(it, id)) {
        return;
    }
    if (is_poison(id)) {
        deliver_all(it);
    }
    const quarantine_action decision =
        decide(target.state, {id}, it.now).action;
    if (decision == quarantine_action::refuse) {
        it.broken = is_poison(id) ? it.broken : "refused a harmless request";
        return;
    }
    if (decision == quarantine_action::run_alone && !target.running.empty()) {
        return;
    }
    target.running_alone = decision == quarantine_action::run_alone;
    target.running.insert(id);
}

void crash(model& it, host& one) {
    std::vector<in_flight_request> in_flight;
    for (const std::uint64_t id : one.running) {
        in_flight.push_back({{id}, {}});
    }
    one.running.clear();
    one.running_alone = false;
    broadcast(it, upstream_crashed(one.state, in_flight, it.now));
}

/// Ends request `id` on `one`: a poison request crashes the upstream, any other
/// completes.
void end_run(model& it, host& one, std::uint64_t id) {
    if (is_poison(id)) {
        const std::uint32_t count = ++it.crashes.at(id);
        if (count > one.state.policy.crashes_to_refuse) {
            it.broken = "a poison request crashed too many upstreams";
        }
        crash(it, one);
        return;
    }
    one.running.erase(id);
    one.running_alone = false;
    broadcast(it, completed(one.state, {id}, it.now));
}

void move_once(model& it, std::uint32_t number) {
    move_reader move{number};
    const std::uint32_t kind = move.below(8);
    const std::size_t index = move.below(host_count);
    if (kind < 4) {
        send(it, index, move.below(request_count));
    } else if (kind < 6) {
        host& one = it.hosts.at(index);
        const std::uint64_t id = move.below(request_count);
        if (one.running.contains(id)) {
            end_run(it, one, id);
        }
    } else if (kind == 6 && !it.undelivered.empty()) {
        const auto count = static_cast<std::uint32_t>(it.undelivered.size());
        deliver(it, move.below(count), move.below(3) == 0);
    } else {
        it.now += 1s * move.below(3);
    }
}

violation run(const schedule& moves, const quarantine_policy& policy) {
    model it;
    for (std::size_t i = 0; i < host_count; ++i) {
        it.hosts.at(i).state.policy = policy;
        it.hosts.at(i).state.self = {{i + 1}, {1}};
    }
    for (const std::uint32_t number : moves) {
        move_once(it, number);
        if (it.broken) {
            return it.broken;
        }
    }
    return {};
}

int cases_to_catch(quarantine_faults faults) {
    quarantine_policy policy;
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

/// State after request 7 has crashed `count` upstreams, alone each time.
quarantine after_crashes(int count, instant now) {
    quarantine state;
    state.self = {{1}, {1}};
    for (int i = 0; i < count; ++i) {
        std::ignore = upstream_crashed(state, {{{7}, {}}}, now);
    }
    return state;
}

} // namespace

TEST_CASE("only requests that crash upstreams are refused", "[quarantine]") {
    rc::prop("for random sends, crashes and reports", [] {
        RC_ASSERT(run(*any_schedule(), quarantine_policy{}) == violation{});
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, quarantine_policy{});
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
}

TEST_CASE(
    "each injected quarantine fault is detected", "[quarantine][faults]"
) {
    quarantine_faults blames;
    blames.refuses_all_in_flight = true;
    WARN("blanket refusal detected in case " << cases_to_catch(blames));
    quarantine_faults together;
    together.runs_suspects_together = true;
    WARN("concurrent suspects detected in case " << cases_to_catch(together));
    quarantine_faults deaf;
    deaf.ignores_reports = true;
    WARN("ignored reports detected in case " << cases_to_catch(deaf));
}

TEST_CASE(
    "a refused request is listed, expires and can be released", "[quarantine]"
) {
    const instant now{24h};
    quarantine state = after_crashes(3, now);
    REQUIRE(decide(state, {7}, now).action == quarantine_action::refuse);
    REQUIRE(decide(state, {7}, now).retry_after == state.policy.expiry);
    REQUIRE(describe(state, now).front().crashes == 3);
    const instant later = now + state.policy.expiry;
    REQUIRE(decide(state, {7}, later).action == quarantine_action::run);
    REQUIRE(clear(state, {7}, now).size() == 1);
    REQUIRE(decide(state, {7}, now).action == quarantine_action::run);
    REQUIRE(describe(state, now).empty());
}

TEST_CASE(
    "a release from quarantine reaches the other daemons", "[quarantine]"
) {
    const instant now{24h};
    quarantine here = after_crashes(3, now);
    quarantine there;
    for (const crash_report& report : report_all(here, now)) {
        merge(there, decode<crash_report>(encode(report)), now);
    }
    REQUIRE(decide(there, {7}, now).action == quarantine_action::refuse);
    merge(there, clear(here, {7}, now).front(), now);
    REQUIRE(decide(there, {7}, now).action == quarantine_action::run);
}

TEST_CASE(
    "the quarantine is bounded and keeps the requests with the most crashes",
    "[quarantine]"
) {
    const instant now{24h};
    quarantine state = after_crashes(3, now);
    state.policy.max_entries = 4;
    for (std::uint64_t id = 100; id < 120; ++id) {
        std::ignore = upstream_crashed(state, {{{id}, {}}}, now);
        REQUIRE(state.crash_records.size() <= 4);
    }
    REQUIRE(decide(state, {7}, now).action == quarantine_action::refuse);
}

TEST_CASE(
    "a fingerprint depends on the content of a request, not on its id",
    "[quarantine]"
) {
    request::routed_request one;
    one.key = "berth 1";
    request::routed_request other = one;
    other.id = {5};
    REQUIRE(fingerprint_of(one) == fingerprint_of(other));
    other.body = "x";
    REQUIRE(fingerprint_of(one) != fingerprint_of(other));
}
