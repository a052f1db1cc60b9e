// One upstream under 0.5 to 4 times what it can do: goodput and p99 of each
// class by admission, by a plain first-in-first-out queue and by serving what
// waits in random order, on a virtual clock; and the retries of ingress
// daemons while every instance sheds.

#include <apricotstile/core/random.hpp>
#include <apricotstile/request/ingress.hpp>
#include <apricotstile/upstream/admission.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;
using apricotstile::request::work_class;
using apricotstile::request::work_class_count;

namespace {

constexpr std::uint32_t slots = 16;
constexpr duration mean_service = 5ms;
constexpr duration caller_deadline = 1s;
constexpr duration run_time = 20s;
constexpr std::uint64_t seed = 20261203;
/// Shares of critical, normal and background work in what is offered.
constexpr std::array<double, work_class_count> class_shares{0.3, 0.4, 0.3};

enum class router { admission, fifo, random_order };

struct job {
    work_id id;
    work_class priority{work_class::normal};
    instant arrived;
};

struct completion {
    instant at;
    job done;

    friend bool operator>(const completion& left, const completion& right) {
        return left.at > right.at;
    }
};

struct class_result {
    std::uint64_t offered{0};
    std::uint64_t in_time{0};
    std::vector<duration> latencies;
};

using results = std::array<class_result, work_class_count>;

struct simulation {
    router kind{router::admission};
    random_source random{seed};
    instant now{1h};
    admission state;
    std::vector<job> jobs;
    /// What the plain routers hold; served from the front or at random.
    std::deque<job> waiting;
    std::uint32_t busy{0};
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        running;
    results result;
};

duration exponential(random_source& random, duration mean) {
    std::exponential_distribution<double> distribution{
        1 / static_cast<double>(mean.count())};
    return duration{static_cast<duration::rep>(distribution(random))};
}

work_class draw_class(random_source& random) {
    const double drawn = std::uniform_real_distribution<double>{}(random);
    if (drawn < class_shares.at(0)) {
        return work_class::critical;
    }
    return drawn < class_shares.at(0) + class_shares.at(1)
               ? work_class::normal
               : work_class::background;
}

void run_job(simulation& it, const job& one) {
    ++it.busy;
    it.running.push({it.now + exponential(it.random, mean_service), one});
}

void carry_out(simulation& it, const admission_actions& actions) {
    for (const admission_action& action : actions) {
        if (const auto* start = std::get_if<start_work>(&action)) {
            run_job(it, it.jobs.at(start->id.value));
        }
    }
}

void serve_plain(simulation& it) {
    while (it.busy < slots && !it.waiting.empty()) {
        std::size_t chosen = 0;
        if (it.kind == router::random_order) {
            chosen = random_below(it.random, it.waiting.size());
        }
        std::swap(it.waiting.front(), it.waiting.at(chosen));
        run_job(it, it.waiting.front());
        it.waiting.pop_front();
    }
}

void arrive(simulation& it) {
    const job one{{it.jobs.size()}, draw_class(it.random), it.now};
    it.jobs.push_back(one);
    ++it.result.at(static_cast<std::size_t>(one.priority)).offered;
    if (it.kind == router::admission) {
        const instant deadline = it.now + caller_deadline;
        const offered_work work{one.id, one.priority, deadline, false};
        carry_out(it, offer(it.state, work, it.now));
        return;
    }
    it.waiting.push_back(one);
    serve_plain(it);
}

void complete(simulation& it) {
    const completion done = it.running.top();
    it.running.pop();
    it.now = done.at;
    --it.busy;
    const duration latency = it.now - done.done.arrived;
    auto& one = it.result.at(static_cast<std::size_t>(done.done.priority));
    one.latencies.push_back(latency);
    one.in_time += latency <= caller_deadline ? 1 : 0;
    if (it.kind == router::admission) {
        carry_out(
            it, finished(it.state, done.done.id, work_end::answered, it.now)
        );
        return;
    }
    serve_plain(it);
}

results simulate(router kind, double load) {
    simulation it;
    it.kind = kind;
    admission_policy policy;
    policy.slots = slots;
    it.state = make_admission(policy, it.now - 1h);
    const instant end = it.now + run_time;
    const auto gap = duration{static_cast<duration::rep>(
        static_cast<double>(mean_service.count()) / (slots * load)
    )};
    instant next_arrival = it.now;
    while (next_arrival < end) {
        if (!it.running.empty() && it.running.top().at <= next_arrival) {
            complete(it);
            continue;
        }
        it.now = next_arrival;
        carry_out(it, start_next(it.state, it.now));
        arrive(it);
        next_arrival += exponential(it.random, gap);
    }
    while (!it.running.empty()) {
        complete(it);
    }
    return it.result;
}

const char* name_of(router kind) {
    switch (kind) {
    case router::admission:
        return "apricotstile";
    case router::fifo:
        return "fifo";
    case router::random_order:
        return "random_order";
    }
    return "invalid";
}

double p99_ms(std::vector<duration> latencies) {
    if (latencies.empty()) {
        return 0;
    }
    std::sort(latencies.begin(), latencies.end());
    const duration value = latencies.at(latencies.size() * 99 / 100);
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// What of each class fits when the classes are served strictly in turn.
std::array<double, work_class_count> allowed_by_capacity(double load) {
    std::array<double, work_class_count> allowed{};
    double left = 1;
    for (std::size_t i = 0; i < work_class_count; ++i) {
        allowed.at(i) = std::min(left, load * class_shares.at(i));
        left -= allowed.at(i);
    }
    return allowed;
}

void print_load(double load) {
    constexpr std::array names{"critical", "normal", "background"};
    const double per_second =
        slots / std::chrono::duration<double>{mean_service}.count();
    const double seconds = std::chrono::duration<double>{run_time}.count();
    const auto allowed = allowed_by_capacity(load);
    for (const router kind :
         {router::admission, router::fifo, router::random_order}) {
        const results all = simulate(kind, load);
        for (std::size_t i = 0; i < work_class_count; ++i) {
            const class_result& one = all.at(i);
            const double goodput = static_cast<double>(one.in_time) / seconds;
            const double most = allowed.at(i) * per_second;
            fmt::print(
                "{{\"benchmark\":\"overload\",\"router\":\"{}\","
                "\"load\":{},\"class\":\"{}\",\"offered_per_s\":{:.0f},"
                "\"goodput_per_s\":{:.0f},\"of_allowed\":{:.3f},"
                "\"p99_ms\":{:.1f}}}\n",
                name_of(kind),
                load,
                names.at(i),
                static_cast<double>(one.offered) / seconds,
                goodput,
                most > 0 ? goodput / most : 0.0,
                p99_ms(one.latencies)
            );
        }
    }
}

/// Sends requests while every instance sheds; returns sends a request.
double amplification(bool with_budget) {
    constexpr int requests = 100000;
    request::ingress state;
    state.policy.faults.ignores_retry_budget = !with_budget;
    instant now{1h};
    for (int i = 0; i < requests; ++i) {
        now += 1ms;
        const request::arrival one{true, false, now + caller_deadline};
        const request_id id = request::arrive(state, one, now).id;
        while (state.attempts.contains(id)) {
            const request::route_found route{id, {1}, {1}, 0ns};
            std::ignore = step(state, route, now);
            request::routed_response shed;
            shed.id = state.attempts.at(id).stream;
            shed.outcome = request::outcome::not_run;
            shed.refusal = request::refusal::overloaded;
            std::ignore =
                step(state, request::response_arrived{{1}, shed}, now);
        }
    }
    const request::ingress_counters& counters = state.counters;
    const auto sends =
        static_cast<double>(counters.first_sends + counters.retries);
    return sends / static_cast<double>(counters.first_sends);
}

} // namespace

int main() {
    for (const double load : {0.5, 1.0, 2.0, 4.0}) {
        print_load(load);
    }
    fmt::print(
        "{{\"benchmark\":\"retry_amplification\",\"with_budget\":{:.3f},"
        "\"without\":{:.3f}}}\n",
        amplification(true),
        amplification(false)
    );
    return 0;
}
