// Guards against a non-idempotent request that runs twice, or is reported as
// not run although it ran. Resends, lost or late handovers, crashes of the
// owner and evicted records could cause that. A fake upstream records what
// ran.

#include <apricotstile/request/owner_memory.hpp>
#include <apricotstile/request/request_snapshot.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;
using namespace apricotstile::request;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t owner_count = 3;
constexpr std::size_t key_count = 8;
const slice_ref test_slice{service_id{"release"}, slice_id{3}};

/// A caller's key, first sent at `first_sent` with or without a ticket.
struct caller_key {
    bool sent{false};
    bool ticketed{false};
    instant first_sent;
    std::optional<request::ticket> ticket;
    int runs{0};
    std::optional<keyed_request> running;
    std::string answer;
};

struct simulation {
    std::array<owner_memory, owner_count> owners;
    std::size_t owner{0};
    fencing_token token{1};
    instant now{1h};
    std::array<caller_key, key_count> keys;
    std::optional<slice_handover> handover_in_transit;
    memory_policy policy;
};

owner_memory& current_owner(simulation& sim) {
    return sim.owners.at(sim.owner);
}

simulation make_simulation(const memory_policy& policy) {
    simulation sim;
    sim.policy = policy;
    for (owner_memory& one : sim.owners) {
        one.policy = policy;
    }
    open_slice(
        current_owner(sim),
        test_slice,
        sim.token,
        slice_origin::never_owned,
        sim.now
    );
    return sim;
}

keyed_request make_request(const simulation& sim, std::size_t index) {
    keyed_request result{
        test_slice.first, test_slice.second, sim.token, {}, 1, {}};
    result.id.key.value = std::to_string(index);
    result.ticket = sim.keys.at(index).ticket;
    return result;
}

void first_send(simulation& sim, caller_key& key, bool ticketed) {
    key.sent = true;
    key.first_sent = sim.now;
    key.ticketed = ticketed;
    if (ticketed) {
        key.ticket =
            issue_ticket(current_owner(sim), test_slice, sim.token, sim.now);
    }
}

violation send(simulation& sim, std::size_t index, bool ticketed) {
    caller_key& key = sim.keys.at(index);
    if (!key.sent) {
        first_send(sim, key, ticketed);
    }
    // The only requirement on callers: a key without a ticket isn't resent
    // after the window of the policy.
    if (!key.ticket && sim.now - key.first_sent >= sim.policy.window) {
        return {};
    }
    const keyed_request sent = make_request(sim, index);
    const begin_result result = begin(current_owner(sim), sent, sim.now);
    if (const auto* replay = std::get_if<replay_it>(&result)) {
        const bool same = replay->answer.outcome != outcome::answered ||
                          replay->answer.body == key.answer;
        return same ? violation{} : "another request's answer was replayed";
    }
    if (std::holds_alternative<run_request>(result)) {
        ++key.runs;
        key.running = sent;
        return key.runs > 1 ? violation{"ran twice"} : violation{};
    }
    const auto& refused = std::get<refuse_it>(result);
    if (refused.outcome == outcome::not_run && key.runs > 0 &&
        refused.refusal != refusal::not_owner) {
        return "not_run was reported for a key that ran";
    }
    return {};
}

/// The upstream ends a run: it refused before running, crashed, or answered.
void end_run(simulation& sim, std::size_t index, std::uint32_t how) {
    caller_key& key = sim.keys.at(index);
    if (!key.running) {
        return;
    }
    kept_answer answer{outcome::answered, refusal::none, 200, "text", {}};
    key.answer = "answer " + std::to_string(index);
    answer.body = key.answer;
    if (how == 0) {
        answer = {outcome::not_run, refusal::upstream_refused, 0, {}, {}};
        --key.runs;
    } else if (how == 1) {
        answer = {outcome::unknown, refusal::upstream_lost, 0, {}, {}};
    }
    finish(current_owner(sim), *key.running, answer, sim.now);
    key.running.reset();
}

void forget_running(simulation& sim) {
    for (caller_key& key : sim.keys) {
        key.running.reset();
    }
}

void open_at_next_owner(simulation& sim) {
    forget_running(sim);
    sim.owner = (sim.owner + 1) % owner_count;
    sim.token = next(sim.token);
    open_slice(
        current_owner(sim),
        test_slice,
        sim.token,
        slice_origin::owned_before,
        sim.now
    );
}

void crash_owner(simulation& sim) {
    current_owner(sim) = owner_memory{};
    current_owner(sim).policy = sim.policy;
    sim.handover_in_transit.reset();
    open_at_next_owner(sim);
}

void planned_move(simulation& sim) {
    owner_memory& old = current_owner(sim);
    freeze_slice(old, test_slice);
    sim.handover_in_transit =
        hand_over(old, test_slice, next(sim.token), sim.now);
    open_at_next_owner(sim);
}

/// Delivers the handover, which may arrive late, twice or never.
void deliver_handover(simulation& sim) {
    if (sim.handover_in_transit) {
        take_over(current_owner(sim), *sim.handover_in_transit, sim.now);
    }
}

violation check_bounds(const simulation& sim) {
    for (const owner_memory& one : sim.owners) {
        if (one.records > sim.policy.max_records + key_count) {
            return "too many records";
        }
        if (one.answer_bytes > sim.policy.max_answer_bytes) {
            return "too many bytes";
        }
    }
    return {};
}

violation run(const schedule& moves, const memory_policy& policy) {
    simulation sim = make_simulation(policy);
    for (const std::uint32_t number : moves) {
        move_reader move{number};
        const std::uint32_t kind = move.below(12);
        const std::size_t key = move.below(key_count);
        violation violation_found;
        if (kind < 4) {
            violation_found = send(sim, key, move.below(2) == 0);
        } else if (kind < 7) {
            end_run(sim, key, move.below(4));
        } else if (kind == 7) {
            crash_owner(sim);
        } else if (kind == 8) {
            planned_move(sim);
        } else if (kind == 9) {
            deliver_handover(sim);
        } else {
            sim.now += 1s * move.below(120);
        }
        violation_found = violation_found ? violation_found : check_bounds(sim);
        if (violation_found) {
            return violation_found;
        }
    }
    return {};
}

memory_policy small_policy() {
    memory_policy policy;
    policy.max_records = 3;
    policy.max_answer_bytes = 30;
    policy.max_kept_answer = 12;
    return policy;
}

int cases_until_detected(memory_faults faults) {
    memory_policy policy = small_policy();
    policy.faults = faults;
    constexpr int limit = 2000;
    const int cases = cases_until_violation(
        [&](const schedule& moves) {
            return run(moves, policy);
        },
        limit
    );
    REQUIRE(cases <= limit);
    return cases;
}

keyed_request simple_request() {
    return {test_slice.first, test_slice.second, {1}, {{"c"}, {"k"}}, 7, {}};
}

} // namespace

TEST_CASE("a non-idempotent request runs at most once", "[owner_memory]") {
    rc::prop("under any schedule of loss, moves and resends", [] {
        const schedule moves = *any_schedule();
        RC_ASSERT(run(moves, small_policy()) == violation{});
        RC_ASSERT(run(moves, memory_policy{}) == violation{});
    });
    const auto run_small = [](const schedule& moves) {
        return run(moves, small_policy());
    };
    REQUIRE(cases_until_violation(run_small, 2000) == 2001);
}

TEST_CASE(
    "injected faults of the memory are detected", "[owner_memory][faults]"
) {
    memory_faults older;
    older.trusts_older_tickets = true;
    WARN(
        "trusts older tickets: detected at case " << cases_until_detected(older)
    );
    memory_faults age;
    age.ignores_ticket_age = true;
    WARN(
        "ignores a ticket's age: detected at case " << cases_until_detected(age)
    );
    memory_faults doubt;
    doubt.runs_without_ticket_after_loss = true;
    WARN("ignores a loss: detected at case " << cases_until_detected(doubt));
    memory_faults early;
    early.evicts_when_full = true;
    WARN("evicts when full: detected at case " << cases_until_detected(early));
    memory_faults empty;
    empty.hands_over_nothing = true;
    WARN(
        "hands over no records: detected at case "
        << cases_until_detected(empty)
    );
}

TEST_CASE("a resend with another body is refused", "[owner_memory]") {
    owner_memory memory;
    open_slice(memory, test_slice, {1}, slice_origin::never_owned, instant{});
    keyed_request request = simple_request();
    REQUIRE(
        std::holds_alternative<run_request>(begin(memory, request, instant{}))
    );
    request.content_hash = 8;
    const begin_result result = begin(memory, request, instant{});
    REQUIRE(
        std::get<refuse_it>(result).refusal ==
        refusal::key_reused_with_other_body
    );
}

TEST_CASE(
    "a resend doesn't run while the first request runs", "[owner_memory]"
) {
    owner_memory memory;
    open_slice(memory, test_slice, {1}, slice_origin::never_owned, instant{});
    const keyed_request request = simple_request();
    REQUIRE(
        std::holds_alternative<run_request>(begin(memory, request, instant{}))
    );
    const begin_result result = begin(memory, request, instant{});
    REQUIRE(std::get<refuse_it>(result).outcome == outcome::unknown);
    REQUIRE(std::get<refuse_it>(result).refusal == refusal::in_progress);
}

TEST_CASE(
    "after a loss new keys with a ticket run immediately", "[owner_memory]"
) {
    owner_memory memory;
    open_slice(memory, test_slice, {2}, slice_origin::owned_before, instant{});
    keyed_request request = simple_request();
    request.token = {2};
    const begin_result in_doubt = begin(memory, request, instant{});
    REQUIRE(
        std::get<refuse_it>(in_doubt).refusal == refusal::outcome_forgotten
    );
    REQUIRE(describe(memory, instant{}).slices_in_doubt == 1);
    request.ticket = issue_ticket(memory, test_slice, {2}, instant{});
    REQUIRE(
        std::holds_alternative<run_request>(begin(memory, request, instant{}))
    );
}

TEST_CASE(
    "after a loss keys without a ticket run after the window", "[owner_memory]"
) {
    owner_memory memory;
    open_slice(memory, test_slice, {2}, slice_origin::owned_before, instant{});
    keyed_request request = simple_request();
    request.token = {2};
    const instant later = instant{} + memory.policy.window;
    const begin_result early = begin(memory, request, later - 1ns);
    REQUIRE(std::holds_alternative<refuse_it>(early));
    REQUIRE(std::holds_alternative<run_request>(begin(memory, request, later)));
}

TEST_CASE(
    "a handover is the same after encoding and decoding", "[owner_memory]"
) {
    owner_memory memory;
    open_slice(memory, test_slice, {1}, slice_origin::never_owned, instant{});
    const keyed_request request = simple_request();
    REQUIRE(
        std::holds_alternative<run_request>(begin(memory, request, instant{}))
    );
    const auto sent = hand_over(memory, test_slice, {2}, instant{} + 1s);
    const auto got = decode<slice_handover>(encode(sent.value()));
    REQUIRE(got.released_to == fencing_token{2});
    REQUIRE(got.records.size() == 1);
    REQUIRE(got.records.front().id == request.id);
    REQUIRE(memory.records == 0);
}

TEST_CASE("only exact ticket texts are parsed", "[ticket]") {
    rc::prop("each ticket is parsed from its text", [](std::uint64_t token) {
        const ticket sent{slice_id{9}, fencing_token{token}, 12ms};
        RC_ASSERT(parse_ticket(to_text(sent)) == sent);
    });
    for (const char* text :
         {"", "1", "1.2.3", "2.1.1.1", "1.1.1.-1", "1.1.1.1.", "1.1.1.1x"}) {
        REQUIRE(parse_ticket(text) == std::nullopt);
    }
}
