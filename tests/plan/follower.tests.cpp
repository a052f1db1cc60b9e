// Guards against daemons that revert to an older version or don't reach the
// newest one, over a network that loses, delays, repeats and reorders messages,
// with partitions, restarts and outages of the store.

#include <tests/plan/list_generators.hpp>
#include <tests/support/fake_table.hpp>

#include <apricotstile/plan/follower.hpp>
#include <apricotstile/plan/status.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 100ms;
constexpr std::size_t daemon_count = 7;

struct simulated_daemon {
    plan::follower_state state;
    bool running{true};
    /// The last version in force since the daemon started.
    plan_version last_in_force;
    /// The highest version ever in force on this host.
    plan_version highest_in_force;
};

struct message_in_flight {
    instant due;
    host_id from;
    host_id to;
    plan::plan_message message;
};

struct simulation {
    random_source source;
    instant now{};
    tests::fake_table table;
    std::map<std::string, std::string> objects;
    std::vector<simulated_daemon> daemons;
    std::vector<message_in_flight> network;
    /// The network partition of each daemon; messages don't cross partitions.
    std::vector<int> partition;
    std::uint64_t loss_percent{0};
    plan::follower_policy policy;
    plan_version applied;
    plan::plan_lists lists;
    std::string violation;
};

host_id host_of(std::size_t index) {
    return {index + 1};
}

std::size_t index_of(host_id host) {
    return host.value - 1;
}

std::size_t hosts_that_had(const simulation& sim, plan_version version) {
    std::size_t count = 0;
    for (const simulated_daemon& one : sim.daemons) {
        count += one.highest_in_force >= version ? 1 : 0;
    }
    return count;
}

/// Checks, whenever a daemon puts a version in force, that neither the daemon
/// nor, across restarts, the host reverts to an older one.
void check_no_reversion(simulation& sim, simulated_daemon& daemon) {
    const auto version = daemon.state.held->record.version;
    if (version < daemon.last_in_force) {
        sim.violation = "a daemon reverted to an older version";
    }
    const bool kept =
        daemon.state.table_answered ||
        hosts_that_had(sim, daemon.highest_in_force) > daemon_count / 2;
    if (version < daemon.highest_in_force && kept) {
        sim.violation = "a host reverted to an older version after a restart";
    }
    daemon.last_in_force = version;
    daemon.highest_in_force = std::max(daemon.highest_in_force, version);
}

void step_daemon(
    simulation& sim, std::size_t node, const plan::follower_event& event
);

void perform(
    simulation& sim, std::size_t node, const plan::send_plan_message& action
) {
    const std::uint64_t copies =
        1 + (random_below(sim.source, 10) == 0 ? 1 : 0);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (random_below(sim.source, 100) < sim.loss_percent) {
            continue;
        }
        const duration delay = random_below(sim.source, 400) * 1ms;
        sim.network.push_back(
            {sim.now + delay, host_of(node), action.to, action.message}
        );
    }
}

void perform(simulation& sim, std::size_t node, const plan::version_in_force&) {
    check_no_reversion(sim, sim.daemons[node]);
}

void perform(
    simulation& sim, std::size_t node, const platform::read_rows& action
) {
    step_daemon(
        sim,
        node,
        platform::rows_read{
            action.id, tests::read_prefix(sim.table, action.prefix)}
    );
}

void perform(
    simulation& sim, std::size_t node, const platform::get_object& action
) {
    const auto found = sim.objects.find(action.name.value);
    const bool answered = !sim.table.down && found != sim.objects.end();
    step_daemon(
        sim,
        node,
        platform::object_got{action.id, answered, answered ? found->second : ""}
    );
}

void step_daemon(
    simulation& sim, std::size_t node, const plan::follower_event& event
) {
    simulated_daemon& daemon = sim.daemons[node];
    if (!daemon.running) {
        return;
    }
    const auto actions = plan::step(daemon.state, event, sim.now, sim.source);
    for (const plan::follower_action& action : actions) {
        std::visit(
            [&](const auto& one) {
                perform(sim, node, one);
            },
            action
        );
    }
}

void start(simulation& sim, std::size_t node) {
    simulated_daemon& daemon = sim.daemons[node];
    daemon.state = {};
    daemon.state.policy = sim.policy;
    daemon.state.self = host_of(node);
    daemon.last_in_force = {};
    daemon.running = true;
    std::vector<host_id> members;
    for (std::size_t at = 0; at < daemon_count; ++at) {
        members.push_back(host_of(at));
    }
    step_daemon(sim, node, plan::plan_members_changed{members});
    step_daemon(sim, node, plan::follower_started{});
}

/// Commits a version. The daemon that ran the apply may stop before it gets the
/// result.
void apply(simulation& sim) {
    if (sim.table.down) {
        return;
    }
    sim.applied = next(sim.applied);
    sim.lists = tests::random_lists(sim.source);
    const plan::version_body body{sim.applied, {sim.source()}, sim.lists};
    const plan::held_version held{
        {sim.applied, body.applied_by, plan::content_name(encode(body))},
        sim.lists,
        encode(body)};
    sim.objects[held.record.body.value] = held.bytes;
    static_cast<void>(tests::commit(
        sim.table, {{}, {{{plan::head_row_key}, encode(held.record)}}}
    ));
    if (random_below(sim.source, 3) != 0) {
        const std::size_t node = random_below(sim.source, daemon_count);
        step_daemon(sim, node, plan::version_applied{body});
    }
}

void deliver(simulation& sim) {
    std::vector<message_in_flight> due;
    std::erase_if(sim.network, [&](const message_in_flight& one) {
        if (one.due > sim.now) {
            return false;
        }
        due.push_back(one);
        return true;
    });
    for (const message_in_flight& one : due) {
        if (sim.partition[index_of(one.from)] ==
            sim.partition[index_of(one.to)]) {
            step_daemon(
                sim,
                index_of(one.to),
                plan::plan_message_received{one.from, one.message}
            );
        }
    }
}

void advance(simulation& sim, int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
        sim.now += tick_interval;
        deliver(sim);
        for (std::size_t node = 0; node < daemon_count; ++node) {
            step_daemon(sim, node, plan::follower_tick{});
        }
    }
}

void inject_fault(simulation& sim) {
    switch (random_below(sim.source, 6)) {
    case 0:
        apply(sim);
        break;
    case 1:
        sim.table.down = !sim.table.down;
        break;
    case 2:
        for (int& one : sim.partition) {
            one = static_cast<int>(random_below(sim.source, 2));
        }
        break;
    case 3:
        sim.partition.assign(daemon_count, 0);
        break;
    case 4:
        sim.daemons[random_below(sim.source, daemon_count)].running = false;
        break;
    default:
        start(sim, random_below(sim.source, daemon_count));
        break;
    }
}

simulation
make_simulation(std::uint64_t seed, const plan::follower_policy& policy) {
    simulation sim;
    sim.source.seed(seed);
    sim.policy = policy;
    sim.partition.assign(daemon_count, 0);
    sim.loss_percent = random_below(sim.source, 50);
    sim.daemons.resize(daemon_count);
    for (std::size_t node = 0; node < daemon_count; ++node) {
        start(sim, node);
    }
    return sim;
}

simulation
run_with_faults(std::uint64_t seed, const plan::follower_policy& policy) {
    simulation sim = make_simulation(seed, policy);
    apply(sim);
    for (int round = 0; round < 40 && sim.violation.empty(); ++round) {
        inject_fault(sim);
        advance(sim, static_cast<int>(random_below(sim.source, 30)));
    }
    return sim;
}

void clear_faults(simulation& sim) {
    sim.partition.assign(daemon_count, 0);
    sim.loss_percent = 0;
    sim.table.down = false;
    for (std::size_t node = 0; node < daemon_count; ++node) {
        if (!sim.daemons[node].running) {
            start(sim, node);
        }
    }
}

bool all_in_force(const simulation& sim) {
    for (const simulated_daemon& one : sim.daemons) {
        const auto* held = plan::in_force(one.state);
        if (held == nullptr || held->record.version != sim.applied ||
            !(held->lists == sim.lists)) {
            return false;
        }
    }
    return true;
}

std::uint64_t
cases_until_detected(const plan::follower_policy& policy, std::uint64_t limit) {
    for (std::uint64_t seed = 0; seed < limit; ++seed) {
        if (!run_with_faults(seed, policy).violation.empty()) {
            return seed + 1;
        }
    }
    return limit;
}

} // namespace

TEST_CASE("versions never revert on a host", "[plan][follower]") {
    rc::prop("and all reach the head after faults", [](std::uint64_t seed) {
        simulation sim = run_with_faults(seed, {});
        RC_ASSERT(sim.violation == std::string{});
        clear_faults(sim);
        advance(sim, 200);
        RC_ASSERT(sim.violation == std::string{});
        RC_ASSERT(all_in_force(sim));
    });
}

TEST_CASE("transfers in small parts give the same lists", "[plan][follower]") {
    plan::follower_policy policy;
    // Each part takes a round trip, so about 60 parts fit in the time given.
    policy.part_bytes = 16;
    policy.max_kept_differences = 2;
    rc::prop("over a lossy network", [&](std::uint64_t seed) {
        simulation sim = run_with_faults(seed, policy);
        RC_ASSERT(sim.violation == std::string{});
        clear_faults(sim);
        advance(sim, 600);
        RC_ASSERT(all_in_force(sim));
    });
}

TEST_CASE("a version spreads while the store is down", "[plan][follower]") {
    simulation sim = make_simulation(3, {});
    sim.loss_percent = 0;
    apply(sim);
    advance(sim, 50);
    sim.daemons[0].running = true;
    apply(sim);
    const auto* first = plan::in_force(sim.daemons[0].state);
    REQUIRE(first != nullptr);
    // At least one daemon has the version; no daemon reads the store from here.
    step_daemon(
        sim,
        0,
        plan::version_applied{decode<plan::version_body>(
            sim.objects.at(decode<plan::version_record>(
                               *sim.table.rows.at(plan::head_row_key).value
            )
                               .body.value)
        )}
    );
    sim.table.down = true;
    advance(sim, 50);
    REQUIRE(all_in_force(sim));
}

TEST_CASE("a poll collects every member's version", "[plan][follower]") {
    simulation sim = make_simulation(3, {});
    sim.loss_percent = 0;
    apply(sim);
    advance(sim, 70);
    start(sim, 0);
    advance(sim, 20);
    step_daemon(sim, 0, plan::status_requested{});
    advance(sim, 20);
    const auto status = plan::describe_status(sim.daemons[0].state);
    REQUIRE(status.version == sim.applied);
    REQUIRE(status.members == daemon_count);
    REQUIRE(status.in_force == daemon_count);
    REQUIRE(status.lagging.empty());
}

TEST_CASE("an unreachable member is listed as lagging", "[plan][follower]") {
    simulation sim = make_simulation(3, {});
    sim.loss_percent = 0;
    apply(sim);
    advance(sim, 70);
    sim.daemons[4].running = false;
    apply(sim);
    advance(sim, 70);
    step_daemon(sim, 0, plan::status_requested{});
    advance(sim, 20);
    const auto status = plan::describe_status(sim.daemons[0].state);
    REQUIRE(status.version == sim.applied);
    REQUIRE(status.in_force == daemon_count - 1);
    REQUIRE(status.lagging.size() == 1);
    REQUIRE(status.lagging[0].member == host_of(4));
    REQUIRE(status.lagging[0].version == plan_version{1});
}

TEST_CASE("injected faults of the follower are detected", "[plan][fault]") {
    constexpr std::uint64_t limit = 2000;
    plan::follower_policy early_ready;
    early_ready.fault_ready_without_majority = true;
    const auto detected_in = cases_until_detected(early_ready, limit);
    WARN("ready without a majority: detected in case " << detected_in);
    REQUIRE(detected_in < limit);
}
