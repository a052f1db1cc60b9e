// The load balancer must not cross regions while a near instance has room,
// exceed a region's traffic budget, choose ejected, draining or full instances,
// or eject more than a third of a service. Random schedules of choices and
// outcomes look for an order of events that breaks one of these.

#include <apricotstile/upstream/load_balancer.hpp>
#include <apricotstile/upstream/upstream_snapshot.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

const service_id the_service{"tariffs"};
const location here{{"noord"}, {"noord-1"}};
const location sibling{{"noord"}, {"noord-2"}};
const location abroad{{"west"}, {"west-1"}};
constexpr std::uint64_t exchange_bytes = 1000;
constexpr std::int64_t abroad_bytes_per_second = 2000;

std::vector<known_instance> six_instances() {
    return {
        {{1}, here, 4, false},
        {{2}, here, 4, false},
        {{3}, sibling, 4, false},
        {{4}, sibling, 4, false},
        {{5}, abroad, 4, false},
        {{6}, abroad, 4, false}};
}

struct model {
    load_balancer state;
    random_source random{7};
    instant start{1h};
    instant now{1h};
    std::vector<host_id> in_flight;
    violation broken;
};

void expect(model& it, bool holds, const char* what) {
    if (!holds && !it.broken) {
        it.broken = what;
    }
}

model make_model(const load_balancer_policy& policy) {
    model it;
    it.state.policy = policy;
    it.state.self = here;
    link_budget& link = it.state.links[abroad.region];
    link.bytes_per_second = abroad_bytes_per_second;
    link.burst_bytes = abroad_bytes_per_second;
    link.available = abroad_bytes_per_second;
    link.last_refill = it.now;
    set_instances(it.state, the_service, six_instances(), it.now);
    return it;
}

const instance& instance_of(const model& it, host_id host) {
    const auto& all = it.state.services.at(the_service).instances;
    return *std::find_if(all.begin(), all.end(), [&](const instance& one) {
        return one.host == host;
    });
}

/// Whether an instance of this region has room for another request. Must be
/// called before the choice, which changes the counts.
bool region_has_room(const model& it) {
    const auto& all = it.state.services.at(the_service).instances;
    return std::any_of(all.begin(), all.end(), [&](const instance& one) {
        return one.locality != locality_tier::other_region && !one.draining &&
               it.now >= one.ejected_until && it.now >= one.saturated_until &&
               one.in_flight == 0;
    });
}

void choose_one(model& it) {
    const bool near_room = region_has_room(it);
    const load_balancer_choice chosen =
        pick_instance(it.state, the_service, {}, it.random, it.now);
    if (chosen.host == host_id{}) {
        expect(it, !near_room, "refused although a near instance has room");
        expect(it, chosen.retry_after > 0ns, "a refusal has no retry delay");
        return;
    }
    const instance& one = instance_of(it, chosen.host);
    const bool crosses_regions = one.locality == locality_tier::other_region;
    expect(
        it,
        !crosses_regions || !near_room,
        "crossed regions although a near instance has room"
    );
    expect(it, it.now >= one.ejected_until, "chose an ejected instance");
    expect(it, !one.draining, "chose a draining instance");
    expect(it, one.in_flight <= one.slots, "chose a full instance");
    it.in_flight.push_back(chosen.host);
}

void end_one(model& it, move_reader& move) {
    if (it.in_flight.empty()) {
        return;
    }
    const auto count = static_cast<std::uint32_t>(it.in_flight.size());
    const auto chosen = it.in_flight.begin() + move.below(count);
    send_end end;
    end.result = static_cast<send_result>(move.below(3));
    end.latency = 1ms * (1 + move.below(20));
    end.bytes = exchange_bytes;
    note_end(it.state, the_service, *chosen, end, it.now);
    it.in_flight.erase(chosen);
}

void fail_often(model& it, move_reader& move) {
    const host_id host{1 + move.below(6)};
    const send_end failed{send_result::failed, 0ns, 0, 0ns};
    for (int i = 0; i < 12; ++i) {
        note_end(it.state, the_service, host, failed, it.now);
    }
    std::erase(it.in_flight, host);
}

void check_bounds(model& it) {
    const auto& service = it.state.services.at(the_service);
    const std::size_t ejected = count_ejected(service, it.now);
    expect(it, ejected <= 2, "ejected more than a third of the instances");
    const std::chrono::duration<double> passed = it.now - it.start;
    const link_budget& link = it.state.links.at(abroad.region);
    // Requests in flight when the budget runs out may still overdraw it.
    const double most =
        abroad_bytes_per_second * (1 + passed.count()) + 8.0 * exchange_bytes;
    const auto bytes = static_cast<double>(link.bytes);
    expect(it, bytes <= most, "transferred more bytes than the budget allows");
}

violation run(const schedule& moves, const load_balancer_policy& policy) {
    model it = make_model(policy);
    for (const std::uint32_t number : moves) {
        move_reader move{number};
        const std::uint32_t kind = move.below(16);
        if (kind < 9) {
            choose_one(it);
        } else if (kind < 13) {
            end_one(it, move);
        } else if (kind == 13) {
            fail_often(it, move);
        } else {
            it.now += 1ms * move.below(100);
        }
        check_bounds(it);
        if (it.broken) {
            return it.broken;
        }
    }
    return {};
}

int cases_to_catch(load_balancer_faults faults) {
    load_balancer_policy policy;
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

/// Sends `count` requests one after the other. Returns the number per host.
std::map<host_id, int> spread(load_balancer& state, instant& now, int count) {
    random_source random{11};
    std::map<host_id, int> sent;
    for (int i = 0; i < count; ++i) {
        const load_balancer_choice chosen =
            pick_instance(state, the_service, {}, random, now);
        ++sent[chosen.host];
        const bool slow = chosen.host == host_id{2};
        const duration latency = slow ? 50ms : 2ms;
        now += 1ms;
        note_end(
            state,
            the_service,
            chosen.host,
            {send_result::answered, latency, 10, 0ns},
            now
        );
    }
    return sent;
}

} // namespace

TEST_CASE(
    "the load balancer keeps its limits under any schedule", "[chooser]"
) {
    rc::prop("for random choices and outcomes", [] {
        RC_ASSERT(run(*any_schedule(), load_balancer_policy{}) == violation{});
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, load_balancer_policy{});
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
}

TEST_CASE(
    "each injected load balancer fault is detected", "[chooser][faults]"
) {
    load_balancer_faults ejects;
    ejects.ejects_without_limit = true;
    WARN("unlimited ejection detected in case " << cases_to_catch(ejects));
    load_balancer_faults spends;
    spends.ignores_link_budget = true;
    WARN("ignored link budget detected in case " << cases_to_catch(spends));
    load_balancer_faults blind;
    blind.ignores_regions = true;
    WARN("ignored regions detected in case " << cases_to_catch(blind));
}

TEST_CASE(
    "a slow instance gets few requests even if it reports no load", "[chooser]"
) {
    instant now{1h};
    load_balancer state;
    state.self = here;
    set_instances(state, the_service, six_instances(), now);
    now += 1min;
    note_reported_load(state, the_service, {1}, 1);
    note_reported_load(state, the_service, {2}, 0);
    const auto sent = spread(state, now, 1000);
    REQUIRE(sent.at({1}) > 900);
    REQUIRE_FALSE(sent.contains({5}));
}

TEST_CASE(
    "requests are refused while a link's budget is used up", "[chooser]"
) {
    instant now{1h};
    load_balancer state;
    state.self = here;
    set_instances(state, the_service, {{{5}, abroad, 4, false}}, now);
    link_budget& link = state.links[abroad.region];
    link.available = 100;
    link.burst_bytes = 100;
    link.bytes_per_second = 100;
    random_source random{3};
    const load_balancer_choice first =
        pick_instance(state, the_service, {}, random, now);
    REQUIRE(first.host == host_id{5});
    const send_end end{send_result::answered, 1ms, 200, 0ns};
    note_end(state, the_service, first.host, end, now);
    const load_balancer_choice second =
        pick_instance(state, the_service, {}, random, now);
    REQUIRE(second.refusal == request::refusal::overloaded);
    now += 3s;
    REQUIRE(
        pick_instance(state, the_service, {}, random, now).host == host_id{5}
    );
    REQUIRE(describe(state, now).links.front().bytes == 200);
}
