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

struct daemon_run {
    plan::follower_state state;
    bool running{true};
    /// The last version in force since the daemon started.
    plan_version in_run;
    /// The highest version ever in force on this host.
    plan_version ever;
};

struct message_in_flight {
    instant due;
    host_id from;
    host_id to;
    plan::plan_message message;
};

struct world {
    random_source source;
    instant now{};
    tests::fake_table table;
    std::map<std::string, std::string> objects;
    std::vector<daemon_run> daemons;
    std::vector<message_in_flight> network;
    /// The network partition of each daemon; messages don't cross partitions.
    std::vector<int> group;
    std::uint64_t loss_percent{0};
    plan::follower_policy policy;
    plan_version applied;
    plan::plan_lists lists;
    std::string broken;
};

host_id host_of(std::size_t index) {
    return {index + 1};
}

std::size_t index_of(host_id host) {
    return host.value - 1;
}

std::size_t hosts_that_had(const world& w, plan_version version) {
    std::size_t count = 0;
    for (const daemon_run& one : w.daemons) {
        count += one.ever >= version ? 1 : 0;
    }
    return count;
}

/// Checks, whenever a daemon puts a version in force, that neither the daemon
/// nor, across restarts, the host reverts to an older one.
void check_in_force(world& w, daemon_run& daemon) {
    const auto version = daemon.state.held->record.version;
    if (version < daemon.in_run) {
        w.broken = "a daemon reverted to an older version";
    }
    const bool kept = daemon.state.table_answered ||
                      hosts_that_had(w, daemon.ever) > daemon_count / 2;
    if (version < daemon.ever && kept) {
        w.broken = "a host reverted to an older version after a restart";
    }
    daemon.in_run = version;
    daemon.ever = std::max(daemon.ever, version);
}

void feed(world& w, std::size_t who, const plan::follower_event& event);

void perform(world& w, std::size_t who, const plan::send_plan_message& action) {
    const std::uint64_t copies = 1 + (random_below(w.source, 10) == 0 ? 1 : 0);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (random_below(w.source, 100) < w.loss_percent) {
            continue;
        }
        const duration delay = random_below(w.source, 400) * 1ms;
        w.network.push_back(
            {w.now + delay, host_of(who), action.to, action.message}
        );
    }
}

void perform(world& w, std::size_t who, const plan::version_in_force&) {
    check_in_force(w, w.daemons[who]);
}

void perform(world& w, std::size_t who, const platform::read_rows& action) {
    feed(
        w,
        who,
        platform::rows_read{
            action.id, tests::read_prefix(w.table, action.prefix)}
    );
}

void perform(world& w, std::size_t who, const platform::get_object& action) {
    const auto found = w.objects.find(action.name.value);
    const bool answered = !w.table.down && found != w.objects.end();
    feed(
        w,
        who,
        platform::object_got{action.id, answered, answered ? found->second : ""}
    );
}

void feed(world& w, std::size_t who, const plan::follower_event& event) {
    daemon_run& daemon = w.daemons[who];
    if (!daemon.running) {
        return;
    }
    const auto actions = plan::step(daemon.state, event, w.now, w.source);
    for (const plan::follower_action& action : actions) {
        std::visit(
            [&](const auto& one) {
                perform(w, who, one);
            },
            action
        );
    }
}

void start(world& w, std::size_t who) {
    daemon_run& daemon = w.daemons[who];
    daemon.state = {};
    daemon.state.policy = w.policy;
    daemon.state.self = host_of(who);
    daemon.in_run = {};
    daemon.running = true;
    std::vector<host_id> members;
    for (std::size_t at = 0; at < daemon_count; ++at) {
        members.push_back(host_of(at));
    }
    feed(w, who, plan::plan_members_changed{members});
    feed(w, who, plan::follower_started{});
}

/// Commits a version. The daemon that ran the apply may stop before it gets the
/// result.
void apply(world& w) {
    if (w.table.down) {
        return;
    }
    w.applied = next(w.applied);
    w.lists = tests::random_lists(w.source);
    const plan::version_body body{w.applied, {w.source()}, w.lists};
    const plan::held_version held{
        {w.applied, body.applied_by, plan::content_name(encode(body))},
        w.lists,
        encode(body)};
    w.objects[held.record.body.value] = held.bytes;
    static_cast<void>(tests::commit(
        w.table, {{}, {{{plan::head_row_key}, encode(held.record)}}}
    ));
    if (random_below(w.source, 3) != 0) {
        const std::size_t who = random_below(w.source, daemon_count);
        feed(w, who, plan::version_applied{body});
    }
}

void deliver(world& w) {
    std::vector<message_in_flight> due;
    std::erase_if(w.network, [&](const message_in_flight& one) {
        if (one.due > w.now) {
            return false;
        }
        due.push_back(one);
        return true;
    });
    for (const message_in_flight& one : due) {
        if (w.group[index_of(one.from)] == w.group[index_of(one.to)]) {
            feed(
                w,
                index_of(one.to),
                plan::plan_message_received{one.from, one.message}
            );
        }
    }
}

void advance(world& w, int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
        w.now += tick_interval;
        deliver(w);
        for (std::size_t who = 0; who < daemon_count; ++who) {
            feed(w, who, plan::follower_tick{});
        }
    }
}

void disturb(world& w) {
    switch (random_below(w.source, 6)) {
    case 0:
        apply(w);
        break;
    case 1:
        w.table.down = !w.table.down;
        break;
    case 2:
        for (int& one : w.group) {
            one = static_cast<int>(random_below(w.source, 2));
        }
        break;
    case 3:
        w.group.assign(daemon_count, 0);
        break;
    case 4:
        w.daemons[random_below(w.source, daemon_count)].running = false;
        break;
    default:
        start(w, random_below(w.source, daemon_count));
        break;
    }
}

world make_world(std::uint64_t seed, const plan::follower_policy& policy) {
    world w;
    w.source.seed(seed);
    w.policy = policy;
    w.group.assign(daemon_count, 0);
    w.loss_percent = random_below(w.source, 50);
    w.daemons.resize(daemon_count);
    for (std::size_t who = 0; who < daemon_count; ++who) {
        start(w, who);
    }
    return w;
}

world disturbed(std::uint64_t seed, const plan::follower_policy& policy) {
    world w = make_world(seed, policy);
    apply(w);
    for (int round = 0; round < 40 && w.broken.empty(); ++round) {
        disturb(w);
        advance(w, static_cast<int>(random_below(w.source, 30)));
    }
    return w;
}

void heal(world& w) {
    w.group.assign(daemon_count, 0);
    w.loss_percent = 0;
    w.table.down = false;
    for (std::size_t who = 0; who < daemon_count; ++who) {
        if (!w.daemons[who].running) {
            start(w, who);
        }
    }
}

bool all_follow(const world& w) {
    for (const daemon_run& one : w.daemons) {
        const auto* held = plan::in_force(one.state);
        if (held == nullptr || held->record.version != w.applied ||
            !(held->lists == w.lists)) {
            return false;
        }
    }
    return true;
}

std::uint64_t
cases_until_caught(const plan::follower_policy& policy, std::uint64_t limit) {
    for (std::uint64_t seed = 0; seed < limit; ++seed) {
        if (!disturbed(seed, policy).broken.empty()) {
            return seed + 1;
        }
    }
    return limit;
}

} // namespace

TEST_CASE("versions never revert on a host", "[plan][follower]") {
    rc::prop("and all reach the head after faults", [](std::uint64_t seed) {
        world w = disturbed(seed, {});
        RC_ASSERT(w.broken == std::string{});
        heal(w);
        advance(w, 200);
        RC_ASSERT(w.broken == std::string{});
        RC_ASSERT(all_follow(w));
    });
}

TEST_CASE("transfers in small parts give the same lists", "[plan][follower]") {
    plan::follower_policy policy;
    // Each part takes a round trip, so about 60 parts fit in the time given.
    policy.part_bytes = 16;
    policy.max_kept_differences = 2;
    rc::prop("over a lossy network", [&](std::uint64_t seed) {
        world w = disturbed(seed, policy);
        RC_ASSERT(w.broken == std::string{});
        heal(w);
        advance(w, 600);
        RC_ASSERT(all_follow(w));
    });
}

TEST_CASE("a version spreads while the store is down", "[plan][follower]") {
    world w = make_world(3, {});
    w.loss_percent = 0;
    apply(w);
    advance(w, 50);
    w.daemons[0].running = true;
    apply(w);
    const auto* first = plan::in_force(w.daemons[0].state);
    REQUIRE(first != nullptr);
    // At least one daemon has the version; no daemon reads the store from here.
    feed(
        w,
        0,
        plan::version_applied{decode<plan::version_body>(
            w.objects.at(decode<plan::version_record>(
                             *w.table.rows.at(plan::head_row_key).value
            )
                             .body.value)
        )}
    );
    w.table.down = true;
    advance(w, 50);
    REQUIRE(all_follow(w));
}

TEST_CASE("a poll collects every member's version", "[plan][follower]") {
    world w = make_world(3, {});
    w.loss_percent = 0;
    apply(w);
    advance(w, 70);
    start(w, 0);
    advance(w, 20);
    feed(w, 0, plan::status_requested{});
    advance(w, 20);
    const auto status = plan::describe_status(w.daemons[0].state);
    REQUIRE(status.version == w.applied);
    REQUIRE(status.members == daemon_count);
    REQUIRE(status.in_force == daemon_count);
    REQUIRE(status.lagging.empty());
}

TEST_CASE("an unreachable member is listed as lagging", "[plan][follower]") {
    world w = make_world(3, {});
    w.loss_percent = 0;
    apply(w);
    advance(w, 70);
    w.daemons[4].running = false;
    apply(w);
    advance(w, 70);
    feed(w, 0, plan::status_requested{});
    advance(w, 20);
    const auto status = plan::describe_status(w.daemons[0].state);
    REQUIRE(status.version == w.applied);
    REQUIRE(status.in_force == daemon_count - 1);
    REQUIRE(status.lagging.size() == 1);
    REQUIRE(status.lagging[0].member == host_of(4));
    REQUIRE(status.lagging[0].version == plan_version{1});
}

TEST_CASE("injected faults of the follower are detected", "[plan][fault]") {
    constexpr std::uint64_t limit = 2000;
    plan::follower_policy early;
    early.fault_ready_without_majority = true;
    const auto caught = cases_until_caught(early, limit);
    WARN("ready without a majority: detected in case " << caught);
    REQUIRE(caught < limit);
}
