// A request that crashes upstreams must be refused after a few crashes, on
// whichever host it arrives; requests that were only in flight at the same time
// must never be refused. Random schedules of sends, crashes, and late, repeated
// or reordered reports look for an order of events that breaks this.

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/quarantine.hpp>
#include <apricotstile/upstream/quarantine_records.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t host_count = 3;
constexpr std::uint64_t request_count = 10;
constexpr std::uint64_t poison_count = 2;
constexpr std::uint64_t sender_count = 2;

/// Request `id` as sent by `sender`.
request_identity identity(std::uint64_t id, std::uint64_t sender = 0) {
    constexpr std::uint64_t content_offset = 1000;
    return {{id * sender_count + sender}, {id + content_offset}};
}

/// One owner's daemon and the requests that its upstream is running.
struct host {
    quarantine state;
    /// By request: its sender.
    std::map<std::uint64_t, std::uint64_t> running;
    /// Given up since the upstream's last answer; by request: its sender.
    std::map<std::uint64_t, std::uint64_t> given_up;
    bool running_alone{false};
};

struct model {
    std::array<host, host_count> hosts;
    /// What each daemon has recorded in the table.
    std::array<quarantine_records, host_count> rows;
    instant now{24h};
    /// By poison request and sender.
    std::array<std::array<std::uint32_t, sender_count>, poison_count> crashes{};
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

void send(model& it, std::size_t to, std::uint64_t id, std::uint64_t sender) {
    host& target = it.hosts.at(to);
    // The caller retries only after its last attempt has ended.
    if (target.running_alone || runs_somewhere(it, id)) {
        return;
    }
    if (is_poison(id)) {
        deliver_all(it);
    }
    const quarantine_action decision =
        decide(target.state, identity(id, sender), it.now).action;
    if (decision == quarantine_action::refuse) {
        it.broken = is_poison(id) ? it.broken : "refused a harmless request";
        return;
    }
    if (decision == quarantine_action::run_alone && !target.running.empty()) {
        return;
    }
    target.running_alone = decision == quarantine_action::run_alone;
    target.running.emplace(id, sender);
}

void crash(model& it, host& one) {
    std::vector<in_flight_request> in_flight;
    for (const auto& [id, sender] : one.running) {
        in_flight.push_back({identity(id, sender), {}});
    }
    for (const auto& [id, sender] : one.given_up) {
        in_flight.push_back({identity(id, sender), {}, false});
    }
    one.running.clear();
    one.given_up.clear();
    one.running_alone = false;
    broadcast(it, upstream_crashed(one.state, in_flight, it.now));
}

/// Ends request `id` on `one`: a poison request crashes the upstream, any other
/// completes.
void end_run(model& it, host& one, std::uint64_t id) {
    if (is_poison(id)) {
        auto& by_sender = it.crashes.at(id);
        const quarantine_policy& policy = one.state.policy;
        const std::uint32_t by_this = ++by_sender.at(one.running.at(id));
        const std::size_t by_all =
            std::accumulate(by_sender.begin(), by_sender.end(), 0U);
        // The first crashes may all be one sender's.
        const std::size_t most =
            policy.crashes_to_refuse + policy.senders_to_refuse - 1;
        if (by_this > policy.crashes_to_refuse || by_all > most) {
            it.broken = "a poison request crashed too many upstreams";
        }
        crash(it, one);
        return;
    }
    const std::uint64_t sender = one.running.at(id);
    one.running.erase(id);
    one.given_up.clear();
    one.running_alone = false;
    broadcast(it, completed(one.state, identity(id, sender), it.now));
}

/// The caller of request `id` leaves, if it is a harmless one. Poison requests
/// crash the upstream before that.
void give_up(host& one, std::uint64_t id) {
    if (is_poison(id)) {
        return;
    }
    one.given_up.insert(*one.running.find(id));
    one.running.erase(id);
    one.running_alone = false;
}

/// Restarts a daemon, which forgets its counts, and lets it merge a peer's
/// before it serves. Its upstream drops what it ran.
void restart(model& it, std::size_t index) {
    deliver_all(it);
    host& one = it.hosts.at(index);
    const quarantine_policy policy = one.state.policy;
    const member::member_ref self = one.state.self;
    one = {};
    one.state.policy = policy;
    one.state.self = {self.host, next(self.incarnation)};
    const quarantine& peer = it.hosts.at((index + 1) % host_count).state;
    for (const crash_report& report : report_all(peer, it.now)) {
        merge(one.state, report, it.now);
    }
}

std::int64_t unix_ms_of(instant now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               now.time_since_epoch()
    )
        .count();
}

/// Each daemon records what it is to keep, as it does after each crash.
void record(model& it) {
    for (std::size_t i = 0; i < host_count; ++i) {
        it.rows.at(i) =
            records_to_keep(it.hosts.at(i).state, it.now, unix_ms_of(it.now));
    }
}

/// Restarts all daemons at once: what isn't recorded is forgotten. The bound
/// holds from the crash on by which a request is refused.
void restart_all(model& it) {
    it.undelivered.clear();
    for (host& one : it.hosts) {
        const quarantine_policy policy = one.state.policy;
        const member::member_ref self = one.state.self;
        one = {};
        one.state.policy = policy;
        one.state.self = {self.host, next(self.incarnation)};
        for (const quarantine_records& row : it.rows) {
            restore(one.state, row, it.now, unix_ms_of(it.now));
        }
    }
    for (auto& by_sender : it.crashes) {
        const std::uint32_t by_all =
            std::accumulate(by_sender.begin(), by_sender.end(), 0U);
        if (by_all < it.hosts.front().state.policy.crashes_to_refuse) {
            by_sender.fill(0);
        }
    }
}

void move_once(model& it, std::uint32_t number) {
    move_reader move{number};
    const std::uint32_t kind = move.below(20);
    const std::size_t index = move.below(host_count);
    host& one = it.hosts.at(index);
    if (kind < 8) {
        const std::uint64_t id = move.below(request_count);
        send(it, index, id, move.below(sender_count));
    } else if (kind < 12 && !one.running.empty()) {
        const auto count = static_cast<std::uint32_t>(one.running.size());
        end_run(
            it, one, std::next(one.running.begin(), move.below(count))->first
        );
    } else if (kind < 14 && !it.undelivered.empty()) {
        const auto count = static_cast<std::uint32_t>(it.undelivered.size());
        deliver(it, move.below(count), move.below(3) == 0);
    } else if (kind == 14) {
        restart(it, index);
    } else if (kind == 15 && move.below(3) == 0) {
        restart_all(it);
    } else if (kind < 19 && !one.running.empty()) {
        const auto count = static_cast<std::uint32_t>(one.running.size());
        give_up(one, std::next(one.running.begin(), move.below(count))->first);
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
        record(it);
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
        std::ignore = upstream_crashed(state, {{identity(7), {}}}, now);
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
    quarantine_faults forgetful;
    forgetful.ignores_records = true;
    WARN("ignored records detected in case " << cases_to_catch(forgetful));
    quarantine_faults crowded;
    crowded.counts_given_up = true;
    WARN("requests given up detected in case " << cases_to_catch(crowded));
}

TEST_CASE(
    "a refused request is listed, expires and can be released", "[quarantine]"
) {
    const instant now{24h};
    quarantine state = after_crashes(3, now);
    REQUIRE(
        decide(state, identity(7), now).action == quarantine_action::refuse
    );
    REQUIRE(decide(state, identity(7), now).retry_after == state.policy.expiry);
    REQUIRE(describe(state, now).front().crashes == 3);
    const instant later = now + state.policy.expiry;
    REQUIRE(decide(state, identity(7), later).action == quarantine_action::run);
    REQUIRE(clear(state, identity(7).from_sender, now).size() == 2);
    REQUIRE(decide(state, identity(7), now).action == quarantine_action::run);
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
    REQUIRE(
        decide(there, identity(7), now).action == quarantine_action::refuse
    );
    for (const crash_report& report :
         clear(here, identity(7).from_sender, now)) {
        merge(there, report, now);
    }
    REQUIRE(decide(there, identity(7), now).action == quarantine_action::run);
}

TEST_CASE(
    "the quarantine is bounded and keeps the requests with the most crashes",
    "[quarantine]"
) {
    const instant now{24h};
    quarantine state = after_crashes(3, now);
    state.policy.max_entries = 4;
    for (std::uint64_t id = 100; id < 120; ++id) {
        std::ignore = upstream_crashed(state, {{identity(id), {}}}, now);
        REQUIRE(state.crash_records.size() <= 4);
    }
    REQUIRE(
        decide(state, identity(7), now).action == quarantine_action::refuse
    );
}

TEST_CASE(
    "a fingerprint depends on the content of a request, not on its id",
    "[quarantine]"
) {
    request::routed_request one;
    one.key = "berth 1";
    request::routed_request other = one;
    other.id = {5};
    REQUIRE(identity_of(one) == identity_of(other));
    other.customer = {"other"};
    REQUIRE(identity_of(one).content == identity_of(other).content);
    REQUIRE(identity_of(one).from_sender != identity_of(other).from_sender);
    other.body = "x";
    REQUIRE(identity_of(one).content != identity_of(other).content);
}
