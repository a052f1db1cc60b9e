// The planner on a virtual clock: ranges moved after losses and in a rolling
// restart, balance under skewed load, time of a full plan, the move queue
// with and without the paper's three ideas, and the size of map and changes.
// Consistent hashing is the baseline in the same run. One JSON line a point.

#include <benchmarks/planner_cluster.hpp>

#include <apricotstile/assignment/move_queue.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

using namespace apricotstile;
using namespace apricotstile::assignment;
using namespace apricotstile::benchmarks;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slices = 32'768;
constexpr std::size_t member_counts[] = {18, 100, 740};
constexpr std::size_t domains = 4;

void bench_losses(std::size_t members) {
    planner_cluster cluster{members, domains, slices};
    const auto start = std::chrono::steady_clock::now();
    cluster.settle();
    const auto first = std::chrono::steady_clock::now() - start;
    const hash_ring ring{cluster.hosts()};
    fmt::print(
        "{{\"point\":\"initial\",\"members\":{},\"slices\":{},"
        "\"transactions\":{},\"planner_ms\":{:.1f},"
        "\"longest_step_ms\":{:.1f},\"imbalance\":{:.3f},"
        "\"consistent_hashing_imbalance\":{:.3f}}}\n",
        members,
        slices,
        cluster.transactions,
        std::chrono::duration<double, std::milli>(first).count(),
        std::chrono::duration<double, std::milli>(cluster.longest_step).count(),
        cluster.slice_imbalance(),
        ring.slice_imbalance(slices)
    );
    const auto lose = [&](const char* name, std::size_t count) {
        const auto least = cluster.owned_by_first(count);
        cluster.reset_counts();
        cluster.lose_first(count);
        cluster.settle();
        const auto ring_moved =
            ring.moved_to(hash_ring{cluster.hosts()}, slices);
        fmt::print(
            "{{\"point\":\"{}\",\"members\":{},\"lost\":{},\"moved\":{},"
            "\"least\":{},\"transactions\":{},\"longest_step_ms\":{:.1f},"
            "\"imbalance\":{:.3f},\"consistent_hashing_moved\":{}}}\n",
            name,
            members,
            count,
            cluster.moved,
            least,
            cluster.transactions,
            std::chrono::duration<double, std::milli>(cluster.longest_step)
                .count(),
            cluster.slice_imbalance(),
            ring_moved
        );
    };
    lose("one host lost", 1);
    cluster.bring_back();
    cluster.settle();
    lose("failure domain lost", (members + domains - 1) / domains);
}

void bench_rolling_restart(std::size_t members) {
    planner_cluster cluster{members, domains, slices};
    cluster.settle();
    cluster.reset_counts();
    std::size_t least = 0;
    for (std::size_t i = 0; i < members; ++i) {
        least += cluster.owned_by(i);
        cluster.restart(i);
    }
    fmt::print(
        "{{\"point\":\"rolling restart\",\"members\":{},\"moved\":{},"
        "\"least\":{},\"transactions\":{},\"imbalance\":{:.3f}}}\n",
        members,
        cluster.moved,
        least,
        cluster.transactions,
        cluster.slice_imbalance()
    );
}

void bench_balance(std::size_t members, double skew) {
    constexpr double requests_per_member = 6'200;
    constexpr std::size_t keys = 1'000'000;
    planner_cluster cluster{members, domains, slices};
    cluster.settle();
    cluster.set_zipf_load(
        keys, skew, requests_per_member * static_cast<double>(members)
    );
    const double before = cluster.load_imbalance();
    const double ring = cluster.load_imbalance_with(hash_ring{cluster.hosts()});
    const double floor = std::max(1.0, cluster.hottest_key_share());
    cluster.reset_counts();
    const auto took = cluster.settle_load();
    fmt::print(
        "{{\"point\":\"balance\",\"members\":{},\"skew\":{},"
        "\"imbalance_before\":{:.3f},\"imbalance_after\":{:.3f},"
        "\"least_possible\":{:.3f},\"consistent_hashing\":{:.3f},"
        "\"moved\":{},\"exceptions\":{},\"settled_after_s\":{:.0f},"
        "\"longest_step_ms\":{:.1f}}}\n",
        members,
        skew,
        before,
        cluster.load_imbalance(),
        floor,
        ring,
        cluster.moved,
        cluster.exceptions(),
        std::chrono::duration<double>(took).count(),
        std::chrono::duration<double, std::milli>(cluster.longest_step).count()
    );
}

/// The time until `count` moves are done when each target handles one after
/// another at its own speed and the queue is asked every 250 ms.
duration
makespan(const move_limits& limits, bool late_binding, std::size_t count) {
    constexpr std::size_t hosts = 18;
    constexpr duration poll = 250ms;
    constexpr duration fast_move = 100ms;
    random_source random{20261203};
    std::vector<duration> speed;
    std::vector<move_target> targets;
    for (std::size_t i = 0; i < hosts; ++i) {
        // A third are two to ten times as slow.
        const auto factor = i % 3 == 0 ? 2 + random_below(random, 9) : 1;
        speed.push_back(fast_move * static_cast<std::int64_t>(factor));
        targets.push_back({{host_id{i + 1}, {}}, 0, 1e9, 0});
    }
    move_queue queue;
    for (std::uint32_t i = 0; i < count; ++i) {
        add_pending(
            queue,
            {{service_id{"s"}, slice_id{i}, {}}, {host_id{999}, {}}, 1.0, false}
        );
    }
    move_limits early = limits;
    early.target_depth = static_cast<std::uint32_t>(count);
    instant now;
    std::vector<instant> free_at(hosts);
    std::multimap<instant, range_id> running;
    instant last;
    bool first = true;
    while (first || !queue.pending.empty() || !running.empty()) {
        while (!running.empty() && running.begin()->first <= now) {
            last = running.begin()->first;
            end_move(queue, running.begin()->second, true, last);
            running.erase(running.begin());
        }
        const auto& used = late_binding ? limits : early;
        for (const auto& move :
             bind_moves(queue, service_id{"s"}, targets, used, now)) {
            const std::size_t host = move.to.host.value - 1;
            free_at[host] = std::max(free_at[host], now) + speed[host];
            running.emplace(free_at[host], move.range);
        }
        first = false;
        now += poll;
    }
    return last - instant{};
}

void bench_move_queue() {
    struct variant {
        const char* name;
        bool late;
        bool earliest;
        std::uint32_t depth;
    };

    constexpr variant variants[] = {
        {"none of the three", false, false, 0},
        {"earliest finish alone", false, true, 0},
        {"late binding, any with room, depth 2", true, false, 2},
        {"late binding, any with room, depth 4", true, false, 4},
        {"all three, depth 1", true, true, 1},
        {"all three, depth 2", true, true, 2},
        {"all three, depth 3", true, true, 3},
        {"all three, depth 4", true, true, 4},
        {"all three, depth 8", true, true, 8},
        {"all three, depth 32", true, true, 32},
    };
    for (const std::size_t count : {100, 500}) {
        for (const variant& one : variants) {
            move_limits limits;
            limits.target_depth = one.depth;
            limits.earliest_finish = one.earliest;
            limits.source_depth = 1'000'000;
            limits.active = 1'000'000;
            limits.moves_per_second = 1e9;
            const auto took = makespan(limits, one.late, count);
            fmt::print(
                "{{\"point\":\"move queue\",\"moves\":{},\"variant\":\"{}\","
                "\"makespan_s\":{:.2f}}}\n",
                count,
                one.name,
                std::chrono::duration<double>(took).count()
            );
        }
    }
}

void bench_sizes(std::uint32_t slice_count) {
    planner_cluster cluster{740, domains, slice_count};
    cluster.settle();
    const map_rows& rows = cluster.planner_state.reader.rows;
    std::size_t chunk_bytes = 0;
    for (const auto& [id, stored] : rows.chunks) {
        chunk_bytes += encode(stored.chunk).size();
    }
    const std::size_t memory = slice_count * sizeof(slice_assignment);
    cluster.reset_counts();
    cluster.lose_first(1);
    cluster.settle();
    const std::size_t host_change = cluster.change_bytes;
    cluster.reset_counts();
    cluster.lose_first(184);
    cluster.settle();
    fmt::print(
        "{{\"point\":\"sizes\",\"members\":740,\"slices\":{},"
        "\"map_bytes\":{},\"map_memory\":{},\"head_bytes\":{},"
        "\"host_loss_change_bytes\":{},\"domain_loss_change_bytes\":{}}}\n",
        slice_count,
        chunk_bytes,
        memory,
        encode(rows.head).size(),
        host_change,
        cluster.change_bytes
    );
}

} // namespace

int main() {
    for (const std::size_t members : member_counts) {
        bench_losses(members);
    }
    for (const std::size_t members : member_counts) {
        bench_balance(members, 0.6);
    }
    bench_balance(18, 0.99);
    bench_move_queue();
    for (const std::uint32_t count : {256U, 2'048U, 32'768U}) {
        bench_sizes(count);
    }
    for (const std::size_t members : member_counts) {
        bench_rolling_restart(members);
    }
}
