// Leases on a virtual clock: time from a loss to the deposition, control
// traffic and processor time a daemon, and the same for two other designs.
// Prints one JSON line a point; times in milliseconds.

#include <tests/lease/simulation.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr true_time settled = 12s;
constexpr std::size_t regions = 2;

double to_ms(duration length) {
    return std::chrono::duration<double, std::milli>(length).count();
}

double to_s(duration length) {
    return std::chrono::duration<double>(length).count();
}

/// A simulation in which every member holds its lease.
void settle(
    simulation& all, std::uint64_t seed, std::size_t count, duration latency
) {
    all.environment.store_latency = latency;
    make_hosts(all, seed, count, regions);
    for (std::size_t index = 1; index <= count; ++index) {
        start(all, index);
    }
    set_planner(all, host_of(1));
    run_until(all, settled + std::chrono::milliseconds{seed * 37 % 250});
}

struct spread {
    std::vector<double> values;

    double at(double part) {
        if (this->values.empty()) {
            return 0;
        }
        std::sort(this->values.begin(), this->values.end());
        const auto last = static_cast<double>(this->values.size() - 1);
        return this->values[static_cast<std::size_t>(part * last)];
    }
};

/// Kills `victims` and waits until all are deposed, for ten seconds at most.
duration time_to_depose(simulation& all, const std::vector<host_id>& victims) {
    std::vector<member::member_ref> refs;
    for (const host_id one : victims) {
        refs.push_back(lease::self_ref(current_process(all, one)->self));
    }
    const true_time lost = all.now;
    for (const host_id one : victims) {
        kill_process(all, one);
    }
    const auto all_deposed = [&] {
        return std::all_of(refs.begin(), refs.end(), [&](const auto& one) {
            return all.deposed.contains(one);
        });
    };
    while (!all_deposed() && all.now < lost + 10s) {
        run_until(all, all.now + 1ms);
    }
    return all.now - lost;
}

enum class loss { one_host, planner, with_guardian };

const char* to_string(loss what) {
    switch (what) {
    case loss::one_host:
        return "one host";
    case loss::planner:
        return "the planner's host";
    case loss::with_guardian:
        return "a host and one of its guardians";
    }
    return "";
}

std::vector<host_id>
victims_of(simulation& all, loss what, std::uint64_t seed, std::size_t count) {
    const host_id one = host_of(2 + seed % (count - 1));
    switch (what) {
    case loss::one_host:
        return {one};
    case loss::planner:
        return {host_of(1)};
    case loss::with_guardian:
        break;
    }
    const member::own_row& row = current_process(all, one)->self.row;
    return {one, row.confirmed.record.guardians.at(seed % 3).host};
}

void measure_deposition(loss what, duration latency, std::size_t consents) {
    constexpr std::uint64_t seeds = 100;
    constexpr std::size_t count = 18;
    spread times;
    std::size_t missed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation all;
        all.limits.required_consents = consents;
        settle(all, seed, count, latency);
        const auto victims = victims_of(all, what, seed, count);
        const duration taken = time_to_depose(all, victims);
        missed += taken >= 10s ? 1 : 0;
        times.values.push_back(to_ms(taken));
    }
    fmt::print(
        "{{\"point\":\"deposition\",\"lost\":\"{}\",\"members\":{},"
        "\"store_ms\":{},\"consents\":{},\"cases\":{},\"median_ms\":{:.0f},"
        "\"worst_ms\":{:.0f},\"not_within_10_s\":{}}}\n",
        to_string(what),
        count,
        to_ms(latency),
        consents,
        seeds,
        times.at(0.5),
        times.at(1.0),
        missed
    );
}

/// Every host in the failure domain of host two.
std::vector<host_id> failure_domain(std::size_t count) {
    std::vector<host_id> there;
    for (std::size_t index = 1; index <= count; ++index) {
        if (location_of(index, regions) == location_of(2, regions)) {
            there.push_back(host_of(index));
        }
    }
    return there;
}

void measure_domain_loss(std::size_t count, duration latency) {
    simulation all;
    settle(all, 3, count, latency);
    const std::uint64_t commits = all.table.committed;
    const std::uint64_t reads = all.table.reads;
    const auto victims = failure_domain(count);
    const duration taken = time_to_depose(all, victims);
    const std::uint64_t deposing = all.table.committed - commits;
    run_until(all, all.now + 5s);
    fmt::print(
        "{{\"point\":\"failure domain lost\",\"members\":{},\"lost\":{},"
        "\"store_ms\":{},\"all_deposed_ms\":{:.0f},"
        "\"writes_until_deposed\":{},\"writes_in_next_5_s\":{},"
        "\"reads\":{}}}\n",
        count,
        victims.size(),
        to_ms(latency),
        to_ms(taken),
        deposing,
        all.table.committed - commits - deposing,
        all.table.reads - reads
    );
}

void measure_traffic(std::size_t count) {
    simulation all;
    settle(all, 5, count, 5ms);
    all.counts_bytes = true;
    const std::uint64_t messages = all.messages;
    const std::uint64_t commits = all.table.committed;
    const std::uint64_t reads = all.table.reads;
    const duration length = 10s;
    run_until(all, all.now + length);
    // Each message is sent by one daemon and received by another.
    const double share = 2.0 / static_cast<double>(count) / to_s(length);
    fmt::print(
        "{{\"point\":\"control traffic\",\"members\":{},"
        "\"messages_a_second_a_daemon\":{:.1f},"
        "\"bytes_a_second_a_daemon\":{:.0f},\"store_writes_a_second\":{:.1f},"
        "\"store_reads_a_second\":{:.1f}}}\n",
        count,
        share * static_cast<double>(all.messages - messages),
        share * static_cast<double>(all.message_bytes),
        static_cast<double>(all.table.committed - commits) / to_s(length),
        static_cast<double>(all.table.reads - reads) / to_s(length)
    );
}

/// Processor nanoseconds of one call of `run`.
template <class Run>
double cost_of(std::size_t times, Run run) {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i) {
        run(i);
    }
    const auto spent = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::nano>(spent).count() /
           static_cast<double>(times);
}

void measure_processor(std::size_t count) {
    constexpr std::size_t times = 100'000;
    simulation all;
    settle(all, 7, count, 5ms);
    process* one = current_process(all, host_of(2));
    const instant now = local_time(*one, all.now);
    const auto& record = one->self.row.confirmed.record;
    const lease::heartbeat asked{
        record.self,
        record.guardians.at(0),
        record.generation,
        now.time_since_epoch().count(),
        true};
    process* guardian = current_process(all, asked.guardian.host);
    const instant there = local_time(*guardian, all.now);
    const double answering = cost_of(times, [&](std::size_t i) {
        const auto body = decode<lease::message>(encode(lease::message{asked}));
        const lease::message_received what{record.self.host, body};
        const auto out = lease::step(
            guardian->self, what, there + duration{i}, guardian->random
        );
        const auto& reply = std::get<lease::send_message>(out.at(0));
        (void)encode(reply.body);
    });
    const lease::message given{
        lease::promise{record.self, asked.guardian, asked.sent_ns}};
    const double taking = cost_of(times, [&](std::size_t i) {
        const auto body = decode<lease::message>(encode(given));
        const lease::message_received what{asked.guardian.host, body};
        (void)lease::step(one->self, what, now + duration{i}, one->random);
    });
    const double ticking = cost_of(times, [&](std::size_t i) {
        (void
        )lease::step(one->self, lease::tick{}, now + duration{i}, one->random);
    });
    constexpr double heartbeats_a_second = 12;
    constexpr double ticks_a_second = 100;
    const double busy =
        heartbeats_a_second * (answering + taking) + ticks_a_second * ticking;
    fmt::print(
        "{{\"point\":\"processor time\",\"members\":{},"
        "\"answer_ns\":{:.0f},\"take_promise_ns\":{:.0f},\"tick_ns\":{:.0f},"
        "\"core_percent\":{:.4f}}}\n",
        count,
        answering,
        taking,
        ticking,
        busy / 1e9 * 100
    );
}

/// Time without a lease of any of `count` members in an outage of the store.
void measure_outage(std::size_t count, duration outage) {
    simulation all;
    settle(all, 11, count, 5ms);
    const std::uint64_t commits = all.table.committed;
    const true_time before = all.now;
    run_until(all, all.now + 10s);
    const double writes = static_cast<double>(all.table.committed - commits) /
                          to_s(all.now - before);
    all.table.down = true;
    const true_time end = all.now + outage + 10s;
    const true_time back = all.now + outage;
    duration without{};
    while (all.now < end) {
        run_until(all, all.now + 10ms);
        all.table.down = all.now < back;
        for (const process& one : all.processes) {
            without += has_lease(one, all.now) ? 0ms : 10ms;
        }
    }
    fmt::print(
        "{{\"point\":\"store outage\",\"design\":\"{}\",\"members\":{},"
        "\"outage_s\":{:.0f},\"writes_a_second_a_member\":{:.2f},"
        "\"writes_a_second_at_740\":{:.0f},"
        "\"without_lease_s_a_member\":{:.2f},\"deposed\":{}}}\n",
        count < 4 ? "each member renews in the table" : "guardians",
        count,
        to_s(outage),
        writes / static_cast<double>(count),
        writes / static_cast<double>(count) * 740,
        to_s(without) / static_cast<double>(count),
        all.deposed.size()
    );
}

void run_all() {
    for (const duration latency : {5ms, 50ms}) {
        measure_deposition(loss::one_host, latency, 2);
        measure_deposition(loss::planner, latency, 2);
        measure_deposition(loss::with_guardian, latency, 2);
        measure_deposition(loss::with_guardian, latency, 3);
    }
    for (const std::size_t count : {18U, 100U, 740U}) {
        measure_domain_loss(count, 50ms);
        measure_traffic(count);
        measure_processor(count);
    }
    measure_outage(18, 60s);
    measure_outage(3, 60s);
}

} // namespace

} // namespace apricotstile::tests

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    apricotstile::tests::run_all();
    return 0;
}
