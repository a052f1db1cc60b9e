// Gossip of member rows on a virtual clock: bytes and processor time a daemon
// when nothing changes and when a failure domain is lost, and the memory of
// members, of the routing view's copy and of the assignment map.
// Prints one JSON line a point.

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/link/authentication.hpp>
#include <apricotstile/member/gossip.hpp>

#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <vector>

namespace {

using namespace apricotstile;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 7;
constexpr std::size_t failure_domains = 4;
constexpr std::size_t guardians = 3;
constexpr duration latency = 5ms;
constexpr duration tick_interval = 50ms;

host_id host_of(std::size_t index) {
    return host_at({static_cast<std::uint32_t>(0x0A000000U + index), 7011});
}

member::member_row row_of(std::size_t index, std::size_t count) {
    member::member_row row;
    row.version = platform::row_version{3};
    member::member_record& record = row.record;
    record.self = {host_of(index), incarnation{1}};
    const std::size_t domain = index % failure_domains;
    record.where.region.value = domain < 2 ? "nl-west" : "nl-zuid";
    record.where.failure_domain.value = fmt::format("nl-domain-{}", domain);
    record.generation = guardian_generation{2};
    for (std::size_t i = 1; i <= guardians; ++i) {
        record.guardians.push_back({host_of((index + i) % count), {1}});
    }
    record.services.push_back({service_id{"registry"}, 16, true, 32768, true});
    const std::string ip = fmt::format("10.0.{}.{}", index / 256, index % 256);
    record.callers_address = ip + ":7001";
    record.peers_address = ip + ":7011";
    record.operators_address = ip + ":7021";
    return row;
}

member::member_set members_of(std::size_t count) {
    member::member_set members;
    for (std::size_t index = 0; index < count; ++index) {
        member::merge(members, row_of(index, count));
    }
    return members;
}

struct datagram {
    instant due;
    host_id from;
    host_id to;
    std::string bytes;
};

struct node {
    member::gossip gossip;
    member::member_set members;
    bool runs{true};
};

struct world {
    std::vector<node> nodes;
    std::map<host_id, std::size_t> index_of;
    /// In the order of `due`, as every datagram takes as long.
    std::deque<datagram> on_the_way;
    instant now{};
    random_source random{seed};
    std::uint64_t messages{0};
    std::uint64_t bytes{0};
    std::uint64_t largest{0};
};

world make_world(std::size_t count) {
    world all;
    const member::member_set members = members_of(count);
    for (std::size_t index = 0; index < count; ++index) {
        const instant first{tick_interval * (index % 20)};
        all.nodes.push_back({{host_of(index), {}, first}, members, true});
        all.index_of[host_of(index)] = index;
    }
    return all;
}

void send(world& all, host_id from, const member::gossip_actions& actions) {
    for (const member::send_gossip& one : actions) {
        control::envelope envelope{from, one.to, {}, one.body};
        std::string bytes = encode(envelope);
        const std::size_t size = bytes.size() + link::code_bytes;
        ++all.messages;
        all.bytes += size;
        all.largest = std::max<std::uint64_t>(all.largest, size);
        all.on_the_way.push_back(
            {all.now + latency, from, one.to, std::move(bytes)}
        );
    }
}

/// As the controller does: merges and passes on what is news.
void take_rows(
    world& all, node& one, const std::vector<member::member_row>& rows
) {
    std::vector<member::member_row> news;
    for (const member::member_row& row : rows) {
        if (member::merge(one.members, row)) {
            news.push_back(row);
        }
    }
    const host_id self = one.gossip.self;
    send(all, self, send_new_rows(one.gossip, one.members, news, all.random));
}

void deliver(world& all, const datagram& message) {
    node& one = all.nodes[all.index_of.at(message.to)];
    if (!one.runs) {
        return;
    }
    const auto envelope = decode<control::envelope>(message.bytes);
    const auto& body = std::get<member::gossip_message>(envelope.body);
    if (const auto* rows = std::get_if<member::member_rows>(&body)) {
        take_rows(all, one, rows->rows);
        return;
    }
    send(all, message.to, answer(one.members, message.from, body));
}

void run_until(world& all, instant end) {
    while (all.now < end) {
        all.now += latency;
        while (!all.on_the_way.empty() && all.on_the_way.front().due <= all.now
        ) {
            const datagram message = std::move(all.on_the_way.front());
            all.on_the_way.pop_front();
            deliver(all, message);
        }
        if (all.now.time_since_epoch() % tick_interval != 0ns) {
            continue;
        }
        for (node& one : all.nodes) {
            if (one.runs) {
                const host_id self = one.gossip.self;
                send(
                    all,
                    self,
                    tick(one.gossip, one.members, all.now, all.random)
                );
            }
        }
    }
}

/// A daemon that runs writes a newer row of `index` and tells it.
void change_row(world& all, std::size_t index, member::member_state state) {
    std::size_t writer = random_below(all.random, all.nodes.size());
    while (!all.nodes[writer].runs) {
        writer = random_below(all.random, all.nodes.size());
    }
    node& one = all.nodes[writer];
    member::member_row row = one.members.rows.at(host_of(index));
    row.version.value += 1;
    row.record.state = state;
    take_rows(all, one, {row});
}

bool all_agree(const world& all) {
    std::vector<std::uint64_t> hashes;
    for (const node& one : all.nodes) {
        if (one.runs) {
            hashes.push_back(hash_of(one.members).value);
        }
    }
    return std::adjacent_find(
               hashes.begin(), hashes.end(), std::not_equal_to<>{}
           ) == hashes.end();
}

void report(
    const char* what,
    const world& all,
    double running,
    duration length,
    double processor_s,
    double agreed_s
) {
    const double seconds = std::chrono::duration<double>(length).count();
    const double share = 2.0 / running / seconds;
    fmt::print(
        "{{\"benchmark\":\"gossip\",\"point\":\"{}\",\"members\":{},"
        "\"seconds\":{:.0f},\"messages_a_second_a_daemon\":{:.2f},"
        "\"bytes_a_second_a_daemon\":{:.0f},\"largest_bytes\":{},"
        "\"core_percent\":{:.4f},\"agreed_after_s\":{:.2f}}}\n",
        what,
        all.nodes.size(),
        seconds,
        share * static_cast<double>(all.messages),
        share * static_cast<double>(all.bytes),
        all.largest,
        processor_s / running / seconds * 100,
        agreed_s
    );
}

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure_quiet(std::size_t count) {
    world all = make_world(count);
    const duration length = 10s;
    const double begin = processor_seconds();
    run_until(all, all.now + length);
    const double spent = processor_seconds() - begin;
    report("quiet", all, static_cast<double>(count), length, spent, 0);
}

/// All of one failure domain at once; each loss is told by another daemon,
/// spread over a second.
void measure_domain_loss(std::size_t count) {
    world all = make_world(count);
    const duration length = 10s;
    std::vector<std::size_t> lost;
    for (std::size_t index = 1; index < count; index += failure_domains) {
        lost.push_back(index);
        all.nodes[index].runs = false;
    }
    const instant start = all.now;
    const double begin = processor_seconds();
    for (std::size_t i = 0; i < lost.size(); ++i) {
        run_until(all, start + 1s * i / lost.size());
        change_row(all, lost[i], member::member_state::deposed);
    }
    while (!all_agree(all) && all.now < start + length) {
        run_until(all, all.now + tick_interval);
    }
    const double agreed =
        std::chrono::duration<double>(all.now - start).count();
    run_until(all, start + length);
    const double spent = processor_seconds() - begin;
    const auto running = static_cast<double>(count - lost.size());
    report("failure domain lost", all, running, length, spent, agreed);
}

std::size_t bytes_in_use() {
    const auto now = mallinfo2();
    return now.uordblks + now.hblkhd;
}

void measure_members(std::size_t count) {
    constexpr int times = 1000;
    const std::size_t before = bytes_in_use();
    const member::member_set members = members_of(count);
    const std::size_t held = bytes_in_use() - before;
    std::uint64_t sum = 0;
    double begin = processor_seconds();
    for (int i = 0; i < times; ++i) {
        sum += hash_of(members).value;
    }
    const double hashing = (processor_seconds() - begin) / times;
    begin = processor_seconds();
    for (int i = 0; i < times; ++i) {
        std::map<host_id, member::member_record> copy;
        for (const auto& [host, row] : members.rows) {
            copy.emplace(host, row.record);
        }
        sum += copy.size();
    }
    const double copying = (processor_seconds() - begin) / times;
    fmt::print(
        "{{\"benchmark\":\"gossip\",\"point\":\"member set\",\"members\":{},"
        "\"row_bytes\":{},\"memory_bytes\":{},\"hash_us\":{:.1f},"
        "\"view_copy_us\":{:.1f},\"check\":{}}}\n",
        count,
        encode(row_of(1, count)).size(),
        held,
        hashing * 1e6,
        copying * 1e6,
        sum % 10
    );
}

void measure_map(std::uint32_t slices) {
    constexpr int times = 200;
    const std::size_t before = bytes_in_use();
    assignment::assignment_map map;
    map.services[service_id{"registry"}].slices.resize(slices);
    const std::size_t held = bytes_in_use() - before;
    std::size_t sum = 0;
    const double begin = processor_seconds();
    for (int i = 0; i < times; ++i) {
        const assignment::assignment_map copy = map;
        sum += copy.services.begin()->second.slices.size();
    }
    const double copying = (processor_seconds() - begin) / times;
    fmt::print(
        "{{\"benchmark\":\"gossip\",\"point\":\"map copy\",\"slices\":{},"
        "\"memory_bytes\":{},\"copy_us\":{:.1f},\"check\":{}}}\n",
        slices,
        held,
        copying * 1e6,
        sum % 10
    );
}

} // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const std::size_t count : {18U, 100U, 740U}) {
        measure_members(count);
    }
    for (const std::uint32_t slices : {2048U, 8192U, 32768U}) {
        measure_map(slices);
    }
    for (const std::size_t count : {18U, 100U, 740U}) {
        measure_quiet(count);
        measure_domain_loss(count);
    }
    return 0;
}
