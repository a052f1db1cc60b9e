// Guards against a cold instance that gets more requests within a second than
// it tolerates: by its restart, by requests sent while it was warm, by a
// restart of the daemon or a change of the configuration; and against work that
// waits for the limit and is never started or refused.

#include <apricotstile/serving/work_queue.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

/// Requests that arrive within a second were started within this time.
constexpr duration window = 1s + max_send_delay;

/// A service's rate and the deployment's bounds.
struct bound {
    double per_second{0};
    cold_bounds bounds;

    [[nodiscard]] double allowed() const {
        return this->per_second * this->bounds.overage + this->bounds.slack;
    }

    [[nodiscard]] std::optional<cold_policy> policy() const {
        return make_cold_policy(this->bounds, this->per_second, 3s);
    }
};

const bound usual{4.6, {1.5, 8}};
const std::array<bound, 5> all_bounds{
    usual, {1, {1, 0}}, {1, {1.2, 1}}, {20, {1.5, 2}}, {0.5, {1, 6}}};

offered_work work(std::uint64_t id, instant now) {
    offered_work result;
    result.id = work_id{id};
    result.priority = 1;
    result.target = now + 500ms;
    result.deadline = now + 3s;
    result.expected = 30ms;
    return result;
}

work_queue make_queue(const std::optional<cold_policy>& policy, instant now) {
    work_queue queue;
    queue.policy.slots = 8;
    queue.open = true;
    queue.has_answered = true;
    set_cold_policy(queue.cold, policy, now);
    return queue;
}

work_queue cold_queue(const bound& limit, duration remaining = 10s) {
    work_queue queue = make_queue(limit.policy(), start);
    note_cold_time(queue.cold, remaining, start);
    return queue;
}

struct counted_start {
    instant at;
    bool cold{false};
    /// The run of the daemon that started it.
    std::size_t run{0};
};

/// An instance behind a queue that becomes cold and warm, and a daemon that is
/// restarted and reconfigured.
struct model {
    work_queue queue;
    instant now{start};
    std::uint64_t last_id{0};
    std::set<work_id> undecided;
    std::multimap<instant, work_id> ends;
    std::deque<counted_start> starts;
    /// The limits in force, each with the time of the next one.
    std::deque<std::pair<instant, bound>> earlier;
    bound current{usual};
    std::size_t daemon_run{0};
    violation broken;
};

/// The most starts in the window that ends now.
double allowed_now(const model& it) {
    double burst = it.current.policy()->burst;
    double rate = it.current.policy()->per_second;
    bool changed = false;
    for (const auto& [until, one] : it.earlier) {
        if (it.now - until <= window) {
            changed = true;
            burst = std::max(burst, one.policy()->burst);
            rate = std::max(rate, one.policy()->per_second);
        }
    }
    return changed ? burst + rate * 1.1 + 1 : it.current.allowed();
}

void check_window(model& it) {
    std::size_t cold = 0;
    std::size_t of_this_run = 0;
    for (const counted_start& one : it.starts) {
        if (it.now - one.at <= window) {
            cold += one.cold ? 1 : 0;
            of_this_run += one.run == it.daemon_run ? 1 : 0;
        }
    }
    const double allowed = allowed_now(it) + 1e-9;
    if (static_cast<double>(cold) > allowed) {
        it.broken = "more requests to a cold instance than allowed";
    }
    // A daemon that has just started doesn't know what was sent while the
    // instance was warm.
    if (static_cast<double>(of_this_run) > allowed) {
        it.broken = "more requests before and after it became cold";
    }
}

void note_actions(model& it, const std::vector<work_action>& actions) {
    for (const work_action& one : actions) {
        if (it.undecided.erase(one.id) == 0) {
            it.broken = "decided twice";
        }
        if (one.decision == work_decision::start) {
            const bool cold = is_cold(it.queue.cold, it.now);
            it.starts.push_back({it.now, cold, it.daemon_run});
            it.ends.emplace(it.now + 30ms, one.id);
            if (cold) {
                check_window(it);
            }
        }
    }
    while (!it.starts.empty() && it.now - it.starts.front().at > window) {
        it.starts.pop_front();
    }
}

/// Lets time pass to `end`, with all that is due before.
void pass_until(model& it, instant end) {
    while (!it.broken) {
        const auto due = next_start(it.queue, it.now);
        instant next = end;
        next = due ? std::min(next, *due) : next;
        next = it.ends.empty() ? next : std::min(next, it.ends.begin()->first);
        it.now = next;
        if (!it.ends.empty() && it.ends.begin()->first <= it.now) {
            const work_id ended = it.ends.begin()->second;
            it.ends.erase(it.ends.begin());
            note_actions(it, finished(it.queue, ended, it.now));
        } else if (due && *due <= it.now) {
            note_actions(it, start_due(it.queue, it.now));
        } else {
            return;
        }
    }
}

void restart_daemon(model& it) {
    it.queue = make_queue(it.current.policy(), it.now);
    it.undecided.clear();
    it.ends.clear();
    ++it.daemon_run;
}

void change_limit(model& it, const bound& next) {
    it.earlier.emplace_back(it.now, it.current);
    it.current = next;
    set_cold_policy(it.queue.cold, next.policy(), it.now);
}

void change_coldness(model& it, move_reader& move) {
    cold_limit& cold = it.queue.cold;
    switch (move.below(8)) {
    case 0:
        note_instance_down(cold, it.now);
        break;
    case 1:
        note_heartbeat(cold, move.below(2) == 0, it.now);
        break;
    case 2:
        restart_daemon(it);
        break;
    case 3:
        change_limit(it, all_bounds.at(move.below(all_bounds.size())));
        break;
    default:
        note_cold_time(cold, 10ms * move.below(200), it.now);
    }
    note_actions(it, apply_cold_limit(it.queue, it.now));
}

violation run(const schedule& moves) {
    model it;
    it.queue = make_queue(usual.policy(), start);
    for (const std::uint32_t number : moves) {
        move_reader move{number};
        const std::uint32_t kind = move.below(20);
        if (kind < 4) {
            change_coldness(it, move);
        } else if (kind < 14) {
            for (std::uint32_t i = move.below(20); i > 0; --i) {
                offered_work one = work(++it.last_id, it.now);
                one.can_go_elsewhere = move.below(2) == 0;
                it.undecided.insert(one.id);
                note_actions(it, offer(it.queue, one, it.now));
            }
        } else {
            pass_until(it, it.now + 2ms * move.below(200));
        }
        if (it.broken) {
            return it.broken;
        }
    }
    pass_until(it, it.now + 1min);
    if (!it.broken && !it.undecided.empty()) {
        return "work was neither started nor refused";
    }
    return it.broken;
}

} // namespace

TEST_CASE(
    "a cold instance gets no more requests in a second than its bound",
    "[serving][cold]"
) {
    rc::prop("for random work, restarts and configurations", [] {
        RC_ASSERT(run(*any_schedule()).value_or("") == "");
    });
    REQUIRE(cases_until_violation(run, 2000) == 2001);
}

TEST_CASE(
    "requests sent while an instance was warm count once it is cold",
    "[serving][cold]"
) {
    work_queue queue = make_queue(usual.policy(), start);
    instant now = start;
    std::uint64_t last_id = 0;
    for (; now < start + 1s; now += 5ms) {
        const offered_work one = work(++last_id, now);
        for (const work_action& action : offer(queue, one, now)) {
            std::ignore = finished(queue, action.id, now);
        }
    }
    note_cold_time(queue.cold, 10s, now);
    CHECK(wait_for_tokens(queue.cold, 1, now) > 1s);
    // They no longer do after their window.
    CHECK(wait_for_tokens(queue.cold, 1, now) < 1s + 300ms);
}

TEST_CASE("a daemon that has just started has no tokens", "[serving][cold]") {
    work_queue queue = cold_queue(usual);
    offered_work one = work(1, start);
    one.can_go_elsewhere = true;
    const auto actions = offer(queue, one, start);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().decision == work_decision::refuse_busy);
    CHECK(actions.front().retry_after >= 144ms);
    CHECK(queue.cold.rejections == 1);
}

TEST_CASE(
    "work that no other instance may serve waits for its token",
    "[serving][cold]"
) {
    work_queue queue = cold_queue(usual);
    CHECK(offer(queue, work(1, start), start).empty());
    const instant due = next_start(queue, start).value();
    CHECK(due - start > 144ms);
    CHECK(due - start < 146ms);
    CHECK(start_due(queue, due).size() == 1);
}

TEST_CASE(
    "waiting work is refused or started when the instance turns cold or warm",
    "[serving][cold]"
) {
    work_queue queue = make_queue(usual.policy(), start);
    queue.policy.slots = 1;
    offered_work movable = work(2, start);
    movable.can_go_elsewhere = true;
    CHECK(offer(queue, work(1, start), start).size() == 1);
    CHECK(offer(queue, movable, start).empty());
    CHECK(offer(queue, work(3, start), start).empty());
    note_cold_time(queue.cold, 100ms, start);
    const auto refused = apply_cold_limit(queue, start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().id == work_id{2});
    CHECK(refused.front().decision == work_decision::refuse_busy);
    CHECK(finished(queue, work_id{1}, start + 30ms).empty());
    // It is warm before the token is due.
    CHECK(next_start(queue, start + 30ms) == start + 100ms);
    CHECK(start_due(queue, start + 100ms).size() == 1);
}

TEST_CASE(
    "an instance that went down counts as cold until it says otherwise",
    "[serving][cold]"
) {
    cold_limit limit;
    set_cold_policy(limit, usual.policy(), start);
    note_instance_down(limit, start);
    CHECK(is_cold(limit, start + 2999ms));
    CHECK_FALSE(is_cold(limit, start + 3s));
    // A heartbeat of the run before may arrive after the crash.
    note_heartbeat(limit, false, start + 5ms);
    CHECK(is_cold(limit, start + 10ms));
    SECTION("a later heartbeat of the same run") {
        note_heartbeat(limit, false, start + 600ms);
        CHECK_FALSE(is_cold(limit, start + 600ms));
    }
    SECTION("the first heartbeat of a new run") {
        note_heartbeat(limit, true, start + 20ms);
        CHECK_FALSE(is_cold(limit, start + 20ms));
        note_cold_time(limit, 8s, start + 20ms);
        CHECK(is_cold(limit, start + 8s));
    }
}

TEST_CASE(
    "requests that wait for connections don't arrive together unlimited",
    "[serving][cold]"
) {
    cold_limit limit;
    set_cold_policy(limit, usual.policy(), start);
    const instant late = start + 1s;
    // Sent soon after they were counted, warm or cold.
    note_cold_time(limit, 10s, late);
    CHECK(count_late_send(limit, late - max_send_delay, late) == duration{0});
    std::size_t sent = 0;
    for (int i = 0; i < 50; ++i) {
        sent += count_late_send(limit, start, late) == duration{0} ? 1 : 0;
    }
    CHECK(sent == 6);
    CHECK(limit.rejections == 44);
    CHECK(count_late_send(limit, start, late) > 0ms);
    // Those of a warm instance are sent in any case.
    CHECK(count_late_send(limit, start, late + 10s) == duration{0});
}

TEST_CASE("an instance stays cold as long as it ever said", "[serving][cold]") {
    cold_limit limit;
    set_cold_policy(limit, usual.policy(), start);
    note_cold_time(limit, 5s, start);
    note_cold_time(limit, 0ms, start + 1s);
    CHECK(is_cold(limit, start + 4999ms));
    CHECK_FALSE(is_cold(limit, start + 5s));
}

TEST_CASE("without a bound or a rate nothing is limited", "[serving][cold]") {
    CHECK_FALSE(make_cold_policy(std::nullopt, 4.6, 3s));
    CHECK_FALSE(make_cold_policy(cold_bounds{1.5, 8}, 0, 3s));
    work_queue queue = make_queue(std::nullopt, start);
    note_cold_time(queue.cold, 10s, start);
    note_instance_down(queue.cold, start);
    CHECK_FALSE(is_cold(queue.cold, start));
    CHECK(offer(queue, work(1, start), start).size() == 1);
    CHECK(usable_slots_while_cold(queue, 50ms, start) == Approx(8));
}

TEST_CASE(
    "a cold instance reports the slots that its limit keeps busy",
    "[serving][cold]"
) {
    const work_queue queue = cold_queue(usual);
    CHECK(usable_slots_while_cold(queue, 200ms, start) == Approx(6.9 * 0.2));
    // One fewer than all, by which others see that it is cold.
    CHECK(usable_slots_while_cold(queue, 10s, start) == Approx(7));
    CHECK(usable_slots_while_cold(queue, 200ms, start + 10s) == Approx(8));
    CHECK(usable_slots(queue, 200ms) == Approx(8));
}

TEST_CASE("malformed cold times are nothing", "[serving][cold]") {
    CHECK(cold_time_from_millis(0) == duration{0});
    CHECK(cold_time_from_millis(1500) == duration{1500ms});
    CHECK(cold_time_from_millis(1e300) == duration{10min});
    CHECK_FALSE(cold_time_from_millis(-1));
    CHECK_FALSE(cold_time_from_millis(std::numeric_limits<double>::infinity()));
    CHECK_FALSE(cold_time_from_millis(std::nan("")));
}
