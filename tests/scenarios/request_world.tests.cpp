// Random schedules of everything that fails, over the decisions of ingress
// and owners put together.

#include <tests/scenarios/request_world.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

/// A mistake in the callers' or the owners' part, switched on by a test.
struct world_faults {
    request::memory_faults memory;
    request::ingress_faults ingress;
    bool skips_last_check{false};
    /// Not a fault: no host is frozen or cut off.
    bool all_reachable{false};
};

/// What callers keep: the ticket that each key was first sent with.
using caller_tickets = std::map<std::string, std::string>;

constexpr std::uint32_t key_count = 24;
constexpr std::uint32_t poison_key = 100;

world_request draw_request(
    const request_world& world, caller_tickets& tickets, move_reader& move
) {
    world_request sent;
    const std::uint32_t key = move.below(key_count);
    sent.content.idempotent = move.below(3) == 0;
    sent.content.body = std::to_string(key);
    sent.content.priority = static_cast<request::work_class>(move.below(3));
    sent.deadline = world.now + 1ms * (20 + move.below(400));
    if (!sent.content.idempotent) {
        sent.content.caller_key = {sent.content.body};
        const bool uses_ticket = move.below(2) == 0;
        const std::string fresh = uses_ticket ? world.last_ticket : "";
        const auto kept = tickets.emplace(sent.content.body, fresh).first;
        sent.content.ticket = kept->second;
    } else if (move.below(8) == 0) {
        sent.content.body = std::to_string(poison_key);
        sent.crashes_upstream = true;
    }
    return sent;
}

void send_one(
    request_world& world, caller_tickets& tickets, move_reader& move
) {
    const std::string name = std::to_string(world.requests.size());
    send(world, name, draw_request(world, tickets, move));
}

void move_once(
    request_world& world,
    caller_tickets& tickets,
    std::uint32_t number,
    bool all_reachable
) {
    move_reader move{number};
    const std::uint32_t kind = move.below(32);
    const std::size_t host = move.below(world_hosts);
    if (kind < 16) {
        send_one(world, tickets, move);
    } else if (kind < 24) {
        pass(world, 1ms * move.below(30));
    } else if (kind == 24 && !all_reachable) {
        cut(world, host);
    } else if (kind == 25 && !all_reachable) {
        freeze(world, host);
    } else if (kind < 28) {
        heal(world, host);
        wake(world, host);
    } else if (kind == 28) {
        lose_owner(world);
    } else if (kind == 29) {
        depose_owner(world);
    } else {
        move_slice(world);
    }
}

int most_crashes(const world_faults& faults) {
    const auto most =
        static_cast<int>(upstream::quarantine_policy{}.crashes_to_refuse);
    // Each other host may have had the request running already, frozen or cut
    // off, when the first crashes were reported.
    return faults.all_reachable ? most : most + int{world_hosts} - 1;
}

violation run(const schedule& moves, const world_faults& faults) {
    const auto world = make_world();
    caller_tickets tickets;
    world->ingress.policy.faults = faults.ingress;
    world->skips_last_check = faults.skips_last_check;
    for (const std::uint32_t number : moves) {
        for (const auto& host : world->hosts) {
            host->dispatcher.memory.policy.faults = faults.memory;
        }
        move_once(*world, tickets, number, faults.all_reachable);
        if (world->broken) {
            return world->broken;
        }
    }
    settle(*world);
    if (world->upstream_crashes > most_crashes(faults)) {
        return "one request crashed too many upstreams";
    }
    return world->broken;
}

int cases_to_catch(const world_faults& faults) {
    constexpr int limit = 500;
    const int cases = cases_until_violation(
        [&](const schedule& moves) {
            return run(moves, faults);
        },
        limit
    );
    REQUIRE(cases <= limit);
    return cases;
}

} // namespace

TEST_CASE("nothing runs twice and no refusal is false", "[world]") {
    rc::prop("whatever fails at ingress, links, owners and upstreams", [] {
        const violation broken = run(*any_schedule(), {});
        RC_ASSERT(broken.value_or("") == "");
    });
    const auto run_whole = [](const schedule& moves) {
        return run(moves, {});
    };
    REQUIRE(cases_until_violation(run_whole, 2000) == 2001);
    const auto run_reachable = [](const schedule& moves) {
        world_faults calm;
        calm.all_reachable = true;
        return run(moves, calm);
    };
    REQUIRE(cases_until_violation(run_reachable, 2000) == 2001);
}

TEST_CASE("mistakes show in the whole as well", "[world][faults]") {
    world_faults loss;
    loss.memory.runs_without_ticket_after_loss = true;
    WARN("ignores a loss: case " << cases_to_catch(loss));
    world_faults empty;
    empty.memory.hands_over_nothing = true;
    WARN("hands over nothing: case " << cases_to_catch(empty));
    world_faults older;
    older.memory.trusts_older_tickets = true;
    WARN("trusts older tickets: case " << cases_to_catch(older));
    world_faults late;
    late.skips_last_check = true;
    WARN("skips the last check: case " << cases_to_catch(late));
    world_faults forgets;
    forgets.ingress.forgets_earlier_sends = true;
    WARN("forgets earlier sends: case " << cases_to_catch(forgets));
}
