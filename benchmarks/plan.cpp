// Time until a version is in force on every daemon and what that costs, on a
// virtual clock; check time and memory of large lists on the real machine.

#include <apricotstile/core/random.hpp>
#include <apricotstile/plan/check.hpp>
#include <apricotstile/plan/follower.hpp>
#include <apricotstile/plan/plan_book.hpp>

#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace apricotstile;
using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;
constexpr std::size_t region_count = 2;
constexpr int version_count = 8;

struct scenario {
    std::string_view name;
    std::size_t daemons{0};
    std::uint64_t loss_percent{0};
    /// Of each call to the store.
    duration store_delay{0};
    bool store_down{false};
};

struct happening {
    instant due;
    std::uint64_t order{0};
    std::size_t to{0};
    plan::follower_event event;
};

struct is_later {
    bool operator()(const happening& a, const happening& b) const {
        return std::tie(a.due, a.order) > std::tie(b.due, b.order);
    }
};

struct daemon_run {
    plan::follower_state state;
    instant in_force_at;
    plan_version in_force;
};

struct world {
    scenario what;
    random_source source{1};
    instant now{1h};
    std::vector<daemon_run> daemons;
    std::priority_queue<happening, std::vector<happening>, is_later> queue;
    std::uint64_t order{0};
    std::uint64_t bytes{0};
    std::uint64_t store_reads{0};
    std::string head;
    std::map<std::string, std::string> objects;
    plan_version applied;
    plan::plan_lists lists;
};

void post(
    world& w, duration after, std::size_t to, plan::follower_event event
) {
    w.queue.push({w.now + after, ++w.order, to, std::move(event)});
}

duration latency(world& w, std::size_t from, std::size_t to) {
    const bool same = from % region_count == to % region_count;
    const duration jitter = random_below(w.source, 2'000) * 1us;
    return (same ? 500us : 8ms) + jitter;
}

void perform(
    world& w, std::size_t from, const plan::send_plan_message& action
) {
    w.bytes += encode(action.message).size();
    if (random_below(w.source, 100) < w.what.loss_percent) {
        return;
    }
    const std::size_t to = action.to.value - 1;
    post(
        w,
        latency(w, from, to),
        to,
        plan::plan_message_received{{from + 1}, action.message}
    );
}

void perform(world& w, std::size_t at, const plan::version_in_force& action) {
    w.daemons[at].in_force = action.version;
    w.daemons[at].in_force_at = w.now;
}

void perform(world& w, std::size_t at, const platform::read_rows& action) {
    ++w.store_reads;
    platform::read_result result{!w.what.store_down, {}};
    if (result.answered && !w.head.empty()) {
        result.rows.push_back({{plan::head_row_key}, {1}, w.head});
    }
    post(w, w.what.store_delay, at, platform::rows_read{action.id, result});
}

void perform(world& w, std::size_t at, const platform::get_object& action) {
    ++w.store_reads;
    const bool found = !w.what.store_down;
    post(
        w,
        w.what.store_delay,
        at,
        platform::object_got{
            action.id,
            found,
            found ? w.objects.at(action.name.value) : std::string{}}
    );
}

void feed(world& w, std::size_t at, const plan::follower_event& event) {
    auto& state = w.daemons[at].state;
    for (const auto& action : step(state, event, w.now, w.source)) {
        std::visit(
            [&](const auto& one) {
                perform(w, at, one);
            },
            action
        );
    }
}

void run_until(world& w, instant end) {
    while (!w.queue.empty() && w.queue.top().due <= end) {
        const happening next_one = w.queue.top();
        w.queue.pop();
        w.now = next_one.due;
        feed(w, next_one.to, next_one.event);
        if (std::holds_alternative<plan::follower_tick>(next_one.event)) {
            post(w, tick_interval, next_one.to, plan::follower_tick{});
        }
    }
    w.now = end;
}

plan::plan_lists make_lists(std::size_t customers) {
    plan::plan_lists lists;
    for (int at = 0; at < 20; ++at) {
        plan::plan_limits limits;
        limits.services = {{"invoicing"}, {"registry"}, {"tariffs"}};
        limits.requests_per_second = 20;
        limits.requests_at_once = 8;
        lists.plans.plans[{fmt::format("plan-{}", at)}] = limits;
    }
    for (std::size_t at = 0; at < customers; ++at) {
        lists.customers[{fmt::format("harbour-office-{}", at)}] = {
            fmt::format("plan-{}", at % 20)};
    }
    return lists;
}

/// Changes ten customers and tells one daemon, as its own apply would.
void apply(world& w) {
    w.applied = next(w.applied);
    for (int change = 0; change < 10; ++change) {
        const auto at = random_below(w.source, w.lists.customers.size());
        w.lists.customers[{fmt::format("harbour-office-{}", at)}] = {
            fmt::format("plan-{}", random_below(w.source, 20))};
    }
    const plan::version_body body{w.applied, {w.source()}, w.lists};
    const std::string bytes = encode(body);
    const auto name = plan::content_name(bytes);
    w.objects[name.value] = bytes;
    w.head = encode(plan::version_record{w.applied, body.applied_by, name});
    feed(
        w, random_below(w.source, w.daemons.size()), plan::version_applied{body}
    );
}

world make_world(const scenario& what) {
    world w;
    w.what = what;
    w.lists = make_lists(500);
    w.daemons.resize(what.daemons);
    std::vector<host_id> members;
    for (std::size_t at = 0; at < what.daemons; ++at) {
        members.push_back({at + 1});
    }
    w.what.store_down = false;
    for (std::size_t at = 0; at < what.daemons; ++at) {
        auto& state = w.daemons[at].state;
        state.self = members[at];
        feed(w, at, plan::plan_members_changed{members});
        feed(w, at, plan::follower_started{});
        post(w, random_below(w.source, 100) * 1ms, at, plan::follower_tick{});
    }
    run_until(w, w.now + 2s);
    apply(w);
    run_until(w, w.now + 15s);
    w.what.store_down = what.store_down;
    return w;
}

void measure_spread(const scenario& what) {
    world w = make_world(what);
    std::vector<double> times;
    std::vector<double> worsts;
    const std::uint64_t bytes = w.bytes;
    const std::uint64_t reads = w.store_reads;
    const instant start = w.now;
    for (int version = 0; version < version_count; ++version) {
        const instant applied = w.now;
        apply(w);
        run_until(w, w.now + 15s);
        double worst = 0;
        for (const daemon_run& one : w.daemons) {
            const bool there = one.in_force == w.applied;
            const double seconds =
                there ? std::chrono::duration<double>{one.in_force_at - applied}
                            .count()
                      : 999;
            times.push_back(seconds);
            worst = std::max(worst, seconds);
        }
        worsts.push_back(worst);
    }
    std::sort(times.begin(), times.end());
    const double run = std::chrono::duration<double>{w.now - start}.count();
    const auto daemons = static_cast<double>(what.daemons);
    fmt::print(
        "{{\"point\":\"{}\",\"daemons\":{},\"versions\":{},"
        "\"median_s\":{:.2f},\"worst_s\":{:.2f},"
        "\"bytes_per_second_per_daemon\":{:.0f},"
        "\"store_reads_per_second\":{:.2f}}}\n",
        what.name,
        what.daemons,
        version_count,
        times[times.size() / 2],
        *std::max_element(worsts.begin(), worsts.end()),
        static_cast<double>(w.bytes - bytes) / run / daemons,
        static_cast<double>(w.store_reads - reads) / run
    );
    std::fflush(stdout);
}

std::size_t resident_kilobytes() {
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4;
}

void measure_check(std::size_t customers) {
    std::string text = "{\n  \"customers\": {\n";
    for (std::size_t at = 0; at < customers; ++at) {
        text += fmt::format(
            "    \"harbour-office-{}\": \"plan-{}\"{}\n",
            at,
            at % 20,
            at + 1 == customers ? "" : ","
        );
    }
    text += "  }\n}\n";
    std::string plans = "{\"plans\": {";
    for (int at = 0; at < 20; ++at) {
        plans += fmt::format(
            "{}\"plan-{}\": {{\"services\": [\"registry\"], "
            "\"requests_per_second\": 20, \"requests_at_once\": 8}}",
            at == 0 ? "" : ",\n",
            at
        );
    }
    plans += "}}\n";
    const auto start = std::chrono::steady_clock::now();
    const auto result = plan::check({{"customers", text}, {"plans", plans}});
    const std::chrono::duration<double, std::milli> time =
        std::chrono::steady_clock::now() - start;
    fmt::print(
        "{{\"point\":\"check\",\"customers\":{},\"bytes\":{},"
        "\"accepted\":{},\"ms\":{:.1f}}}\n",
        customers,
        text.size(),
        result.accepted,
        time.count()
    );
}

std::size_t bytes_in_use() {
    const auto now = mallinfo2();
    return now.uordblks + now.hblkhd;
}

void measure_memory(std::size_t customers) {
    const std::size_t held_before = bytes_in_use();
    const std::size_t before = resident_kilobytes();
    const plan::version_body body{{1}, {1}, make_lists(customers)};
    plan::follower_state state;
    random_source source{1};
    static_cast<void>(
        step(state, plan::version_applied{body}, instant{}, source)
    );
    const plan::plan_book book = plan::compile({1}, state.held->lists);
    const std::size_t after = resident_kilobytes();
    const std::size_t held = bytes_in_use() - held_before;
    // The body that was applied is a third copy that a daemon drops.
    fmt::print(
        "{{\"point\":\"memory\",\"customers\":{},\"body_bytes\":{},"
        "\"bytes_with_applied_copy\":{},"
        "\"resident_kilobytes_with_applied_copy\":{}}}\n",
        book.customers.size(),
        state.held->bytes.size(),
        held,
        after - before
    );
}

} // namespace

int main() {
    for (const std::size_t customers : {25'000U, 50'000U, 100'000U}) {
        measure_memory(customers);
    }
    measure_check(50'000);
    for (const std::size_t daemons : {18U, 100U, 740U}) {
        measure_spread({"quiet", daemons, 0, 5ms, false});
        measure_spread({"loss_20_percent", daemons, 20, 5ms, false});
        measure_spread({"store_slow_4_s", daemons, 20, 4s, false});
        measure_spread({"store_down", daemons, 20, 5ms, true});
    }
    return 0;
}
