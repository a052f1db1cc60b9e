// A middlebox may lose track of connections, so that nothing arrives on them
// although they look open. Requests on such connections must end by their
// deadline, exactly once and with a true result; working connections must not
// be closed. Random schedules of requests and lost connections check this.

#include <apricotstile/upstream/connection_monitor.hpp>
#include <apricotstile/upstream/upstream_snapshot.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr address_id the_address{1};
constexpr duration service = 5ms;
constexpr duration probe_time = 7ms;

struct work_record {
    bool idempotent{true};
    instant deadline;
    connection_id connection;
    instant done_at;
    int ends{0};
};

/// An upstream behind a middlebox that loses track of connections.
struct model {
    connection_monitor state;
    instant now{1h};
    std::uint64_t last_id{0};
    std::set<connection_id> open;
    /// Open connections on which nothing arrives any more.
    std::set<connection_id> silent;
    std::map<work_id, work_record> work;
    std::map<connection_id, instant> probes;
    int missed_deadlines{0};
    violation broken;
};

void expect(model& it, bool holds, const char* what) {
    if (!holds && !it.broken) {
        it.broken = what;
    }
}

void check_failed(model& it, const fail_exchange& failed) {
    work_record& one = it.work.at(failed.work);
    ++one.ends;
    expect(it, one.ends == 1, "a request ended twice");
    expect(it, it.now <= one.deadline, "a request failed after its deadline");
    const bool retry = failed.outcome == exchange_outcome::retry;
    expect(it, one.idempotent || !retry, "retried a non-idempotent request");
    const bool is_silent = it.silent.contains(one.connection);
    expect(
        it,
        is_silent || it.now >= one.deadline,
        "failed a request on a working connection"
    );
    it.missed_deadlines += it.now >= one.deadline ? 1 : 0;
}

void take(model& it, const connection_actions& actions) {
    for (const connection_action& action : actions) {
        if (const auto* probe = std::get_if<open_probe>(&action)) {
            it.probes[probe->connection] = it.now + probe_time;
        } else if (const auto* closed = std::get_if<close_connection>(&action)) {
            it.open.erase(closed->connection);
            it.probes.erase(closed->connection);
        } else if (const auto* failed = std::get_if<fail_exchange>(&action)) {
            check_failed(it, *failed);
        }
    }
}

connection_id open_one(model& it) {
    const connection_id id{++it.last_id};
    it.open.insert(id);
    take(it, step(it.state, connection_opened{id, the_address, false}, it.now));
    return id;
}

bool is_busy(const model& it, connection_id id) {
    return !it.state.connections.at(id).pending.empty();
}

connection_id connection_to_use(model& it) {
    for (const connection_id id : it.open) {
        if (may_use(it.state, id, it.now) && !is_busy(it, id)) {
            return id;
        }
    }
    return open_one(it);
}

work_id start_work_on(model& it, connection_id id, bool idempotent) {
    const work_id work{++it.last_id};
    const instant deadline = it.now + 1s;
    it.work[work] = {idempotent, deadline, id, it.now + service, 0};
    const exchange_started started{id, work, idempotent, deadline, service};
    take(it, step(it.state, started, it.now));
    return work;
}

void answer_what_is_done(model& it) {
    for (auto& [id, one] : it.work) {
        const bool arrives = it.open.contains(one.connection) &&
                             !it.silent.contains(one.connection);
        if (one.ends == 0 && arrives && one.done_at <= it.now) {
            ++one.ends;
            take(
                it, step(it.state, exchange_ended{one.connection, id}, it.now)
            );
        }
    }
}

void answer_probes(model& it) {
    const auto probes = it.probes;
    for (const auto& [id, due] : probes) {
        if (due <= it.now) {
            it.probes.erase(id);
            take(it, step(it.state, probe_answered{id}, it.now));
        }
    }
}

/// Lets `time` pass a millisecond at a time.
void pass(model& it, duration time) {
    for (const instant end = it.now + time; it.now < end;) {
        it.now += 1ms;
        answer_what_is_done(it);
        answer_probes(it);
        if (next_wake_up(it.state) <= it.now) {
            take(it, step(it.state, timer_expired{}, it.now));
        }
        expect(
            it,
            next_wake_up(it.state) > it.now,
            "the next wake-up is not in the future"
        );
    }
}

void silence_open_connections(model& it) {
    it.silent.insert(it.open.begin(), it.open.end());
}

/// Breaks the oldest open connection and the requests on it.
void break_oldest(model& it) {
    if (!it.open.empty()) {
        const connection_id id = *it.open.begin();
        it.silent.insert(id);
        take(it, step(it.state, connection_closed{id}, it.now));
    }
}

void move_once(model& it, std::uint32_t number) {
    move_reader move{number};
    const std::uint32_t kind = move.below(16);
    if (kind < 7) {
        start_work_on(it, connection_to_use(it), move.below(2) == 0);
    } else if (kind == 7) {
        open_one(it);
    } else if (kind == 8) {
        silence_open_connections(it);
    } else if (kind == 9) {
        break_oldest(it);
    } else {
        pass(it, 1ms * move.below(60));
    }
}

violation run(const schedule& moves, const connection_monitor_policy& policy) {
    model it;
    it.state.policy = policy;
    for (const std::uint32_t number : moves) {
        move_once(it, number);
    }
    pass(it, 2s);
    for (const auto& [id, one] : it.work) {
        expect(it, one.ends == 1, "a request never ended");
    }
    return it.broken;
}

/// Makes eight idle connections silent at once, then sends requests one by one.
/// Returns how many of them missed their deadline.
int deadlines_missed(const connection_monitor_policy& policy, bool idempotent) {
    model it;
    it.state.policy = policy;
    for (int i = 0; i < 8; ++i) {
        open_one(it);
    }
    pass(it, 50ms);
    silence_open_connections(it);
    for (int i = 0; i < 8; ++i) {
        start_work_on(it, connection_to_use(it), idempotent);
        pass(it, 1100ms);
    }
    REQUIRE(it.broken == violation{});
    return it.missed_deadlines;
}

} // namespace

TEST_CASE("requests on silent connections end by their deadline", "[watch]") {
    rc::prop("for random requests and lost connections", [] {
        RC_ASSERT(
            run(*any_schedule(), connection_monitor_policy{}) == violation{}
        );
    });
}

TEST_CASE(
    "silent connections make at most one request miss its deadline", "[watch]"
) {
    REQUIRE(deadlines_missed(connection_monitor_policy{}, true) == 0);
    REQUIRE(deadlines_missed(connection_monitor_policy{}, false) == 1);
}

TEST_CASE(
    "each injected connection monitor fault is detected", "[watch][faults]"
) {
    connection_monitor_policy unsafe;
    unsafe.faults.retries_non_idempotent = true;
    const int cases = cases_until_violation(
        [&](const schedule& moves) {
            return run(moves, unsafe);
        },
        200
    );
    REQUIRE(cases <= 200);
    WARN("retry of a non-idempotent request detected in case " << cases);
    connection_monitor_policy keeps;
    keeps.faults.keeps_idle_connections = true;
    REQUIRE(deadlines_missed(keeps, false) > 1);
    connection_monitor_policy blind;
    blind.faults.never_probes = true;
    REQUIRE(deadlines_missed(blind, true) > 0);
}

TEST_CASE("a slow request doesn't close a link that has traffic", "[watch]") {
    connection_monitor state;
    instant now{1h};
    const connection_id link{1};
    std::ignore = step(state, connection_opened{link, the_address, true}, now);
    const exchange_started slow{link, {1}, true, now + 150ms, 0ns};
    const exchange_started other{link, {2}, true, now + 1s, 0ns};
    std::ignore = step(state, slow, now);
    std::ignore = step(state, other, now);
    for (int i = 0; i < 4; ++i) {
        now += 40ms;
        std::ignore = step(state, traffic_seen{link}, now);
    }
    const auto actions = step(state, timer_expired{}, now);
    REQUIRE(actions.size() == 1);
    REQUIRE(std::get<fail_exchange>(actions.front()).work == work_id{1});
    REQUIRE(describe(state).pending_exchanges == 1);
    REQUIRE(describe(state).suspected == 0);
}

TEST_CASE("a connection is not reused after its idle timeout", "[watch]") {
    connection_monitor state;
    const instant now{1h};
    std::ignore = step(state, connection_opened{{1}, the_address, false}, now);
    REQUIRE(may_use(state, {1}, now + 1s));
    REQUIRE_FALSE(may_use(state, {1}, now + state.policy.max_idle_time));
}
