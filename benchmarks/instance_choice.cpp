// Choice among instances of which one is slow, one lies about its load and
// one is cold; bytes between regions against a choice blind to regions; and
// crashes by a request that crashes each upstream that runs it. All on a
// virtual clock.

#include <apricotstile/core/random.hpp>
#include <apricotstile/upstream/load_balancer.hpp>
#include <apricotstile/upstream/quarantine.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr std::uint32_t slots = 16;
constexpr duration mean_service = 5ms;
constexpr duration run_time = 20s;
constexpr std::uint64_t exchange_bytes = 2000;
constexpr std::size_t instance_count = 6;
const service_id the_service{"tariffs"};

/// An instance as it really is.
struct server {
    location where;
    double slowness{1};
    /// Slower still until then.
    instant cold_until;
    double reported_load{0};
    /// When each slot is free.
    std::array<instant, slots> free_at{};
    duration busy{0};
};

struct ended {
    instant at;
    std::size_t ingress{0};
    host_id host;
    duration latency{0};

    friend bool operator>(const ended& left, const ended& right) {
        return left.at > right.at;
    }
};

struct simulation {
    random_source random{seed};
    instant now{1h};
    std::vector<load_balancer> ingresses;
    std::vector<server> servers;
    std::priority_queue<ended, std::vector<ended>, std::greater<>> running;
    std::vector<duration> latencies;
    std::uint64_t refused{0};
    std::uint64_t cross_bytes{0};
};

location domain(std::size_t index) {
    const std::string region = fmt::format("region-{}", index / 2);
    return {{region}, {fmt::format("{}-{}", region, index % 2)}};
}

simulation make_simulation(
    const load_balancer_policy& policy, std::vector<server> servers
) {
    simulation it;
    it.servers = std::move(servers);
    std::vector<known_instance> known;
    for (std::size_t i = 0; i < it.servers.size(); ++i) {
        known.push_back({{i + 1}, it.servers.at(i).where, slots, false});
    }
    for (std::size_t i = 0; i < it.servers.size(); ++i) {
        load_balancer one;
        one.policy = policy;
        one.self = it.servers.at(i).where;
        set_instances(one, the_service, known, it.now - 1h);
        it.ingresses.push_back(std::move(one));
    }
    return it;
}

duration exponential(random_source& random, duration mean) {
    std::exponential_distribution<double> distribution{
        1 / static_cast<double>(mean.count())};
    return duration{static_cast<duration::rep>(distribution(random))};
}

duration latency_between(const location& from, const location& to) {
    if (from.region != to.region) {
        return 16ms;
    }
    return from == to ? 0ms : 1ms;
}

void serve(simulation& it, std::size_t ingress, host_id host) {
    server& target = it.servers.at(host.value - 1);
    auto& slot =
        *std::min_element(target.free_at.begin(), target.free_at.end());
    constexpr double cold_slowness = 4;
    const bool cold = it.now < target.cold_until;
    const double slowness = target.slowness * (cold ? cold_slowness : 1);
    const duration drawn = exponential(it.random, mean_service);
    const auto service = duration{static_cast<duration::rep>(
        static_cast<double>(drawn.count()) * slowness
    )};
    slot = std::max(slot, it.now) + service;
    target.busy += service;
    const location& from = it.ingresses.at(ingress).self;
    const duration link = latency_between(from, target.where);
    it.running.push({slot + link, ingress, host, slot + link - it.now});
    if (from.region != target.where.region) {
        it.cross_bytes += exchange_bytes;
    }
}

void end_next(simulation& it) {
    const ended one = it.running.top();
    it.running.pop();
    it.now = one.at;
    it.latencies.push_back(one.latency);
    const send_end end{send_result::answered, one.latency, exchange_bytes, 0ns};
    load_balancer& ingress = it.ingresses.at(one.ingress);
    note_end(ingress, the_service, one.host, end, it.now);
    const double load = it.servers.at(one.host.value - 1).reported_load;
    note_reported_load(ingress, the_service, one.host, load);
}

/// `weights` is how much of the load comes in at each ingress.
void simulate(simulation& it, double load, const std::vector<double>& weights) {
    const auto gap = duration{static_cast<duration::rep>(
        static_cast<double>(mean_service.count()) /
        (static_cast<double>(slots * it.servers.size()) * load)
    )};
    std::discrete_distribution<std::size_t> place(
        weights.begin(), weights.end()
    );
    const instant end = it.now + run_time;
    instant next_arrival = it.now;
    while (next_arrival < end) {
        if (!it.running.empty() && it.running.top().at <= next_arrival) {
            end_next(it);
            continue;
        }
        it.now = next_arrival;
        const std::size_t ingress = place(it.random);
        const load_balancer_choice chosen = pick_instance(
            it.ingresses.at(ingress), the_service, {}, it.random, it.now
        );
        if (chosen.host == host_id{}) {
            ++it.refused;
        } else {
            serve(it, ingress, chosen.host);
        }
        next_arrival += exponential(it.random, gap);
    }
}

double p99_ms(std::vector<duration> latencies) {
    std::sort(latencies.begin(), latencies.end());
    const duration value = latencies.at(latencies.size() * 99 / 100);
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// The busiest server's work over the mean.
double imbalance(const simulation& it) {
    duration most{0};
    duration sum{0};
    for (const server& one : it.servers) {
        most = std::max(most, one.busy);
        sum += one.busy;
    }
    return static_cast<double>(most.count()) *
           static_cast<double>(it.servers.size()) /
           static_cast<double>(sum.count());
}

/// One slow, one that lies about its load and is slow, one cold.
std::vector<server> mixed_servers() {
    constexpr double slow = 4;
    std::vector<server> servers(instance_count);
    for (server& one : servers) {
        one.where = domain(0);
        one.reported_load = 0.5;
    }
    servers.at(0).slowness = slow;
    servers.at(1).slowness = slow;
    servers.at(1).reported_load = 0;
    servers.at(2).cold_until = instant{1h} + 5s;
    return servers;
}

void print_mixed(const char* name, const load_balancer_policy& policy) {
    simulation it = make_simulation(policy, mixed_servers());
    simulate(it, 0.5, std::vector<double>(instance_count, 1));
    fmt::print(
        "{{\"benchmark\":\"slow_lying_cold\",\"router\":\"{}\","
        "\"imbalance\":{:.2f},\"p99_ms\":{:.1f},\"refused\":{}}}\n",
        name,
        imbalance(it),
        p99_ms(it.latencies),
        it.refused
    );
}

std::vector<server> spread_servers() {
    std::vector<server> servers(instance_count);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers.at(i).where = domain(i);
    }
    return servers;
}

void print_regions(double load, const std::vector<double>& weights) {
    std::array<double, 2> bytes{};
    std::array<double, 2> p99{};
    for (const bool blind : {false, true}) {
        load_balancer_policy policy;
        policy.faults.ignores_regions = blind;
        simulation it = make_simulation(policy, spread_servers());
        simulate(it, load, weights);
        bytes.at(blind ? 1 : 0) = static_cast<double>(it.cross_bytes);
        p99.at(blind ? 1 : 0) = p99_ms(it.latencies);
    }
    fmt::print(
        "{{\"benchmark\":\"cross_region_bytes\",\"load\":{},"
        "\"first_domain_weight\":{},\"bytes\":{:.0f},\"blind_bytes\":{:.0f},"
        "\"of_blind\":{:.4f},\"p99_ms\":{:.1f},\"blind_p99_ms\":{:.1f}}}\n",
        load,
        weights.front(),
        bytes.front(),
        bytes.back(),
        bytes.front() / bytes.back(),
        p99.front(),
        p99.back()
    );
}

request_identity identity(std::uint64_t id) {
    constexpr std::uint64_t content_offset = 1000;
    return {{id}, {id + content_offset}};
}

/// Resends a poison request 50 times to six owners; nine innocents are in
/// flight at each. Returns the crashes, and counts the innocents refused.
int crashes(const quarantine_policy& policy, int& innocents_refused) {
    std::array<quarantine, instance_count> owners;
    random_source random{seed};
    instant now{24h};
    int count = 0;
    for (int i = 0; i < 50; ++i) {
        now += 1s;
        const std::size_t index = random_below(random, owners.size());
        quarantine& owner = owners.at(index);
        owner.policy = policy;
        owner.self = {{index + 1}, {1}};
        std::vector<in_flight_request> in_flight{{identity(0), {}}};
        const quarantine_action said = decide(owner, identity(0), now).action;
        if (said == quarantine_action::refuse) {
            continue;
        }
        for (std::uint64_t id = 1; id < 10; ++id) {
            const quarantine_action other =
                decide(owner, identity(id), now).action;
            innocents_refused += other == quarantine_action::refuse ? 1 : 0;
            if (said == quarantine_action::run &&
                other == quarantine_action::run) {
                in_flight.push_back({identity(id), {}});
            }
        }
        ++count;
        for (const auto& report : upstream_crashed(owner, in_flight, now)) {
            for (quarantine& one : owners) {
                merge(one, report, now);
            }
        }
    }
    return count;
}

void print_crashes(const char* name, const quarantine_policy& policy) {
    int innocents_refused = 0;
    const int count = crashes(policy, innocents_refused);
    fmt::print(
        "{{\"benchmark\":\"poison_request\",\"router\":\"{}\",\"sends\":50,"
        "\"crashes\":{},\"innocents_refused\":{}}}\n",
        name,
        count,
        innocents_refused
    );
}

} // namespace

int main() {
    print_mixed("apricotstile", {});
    load_balancer_policy hints;
    hints.faults.trusts_reported_load = true;
    print_mixed("load_endpoint", hints);
    load_balancer_policy in_flight;
    in_flight.faults.ignores_outcomes = true;
    print_mixed("least_in_flight", in_flight);
    load_balancer_policy random;
    random.faults.chooses_at_random = true;
    print_mixed("random", random);
    print_regions(0.5, {1, 1, 1, 1, 1, 1});
    print_regions(0.5, {6, 1, 1, 1, 1, 1});
    print_regions(0.9, {1, 1, 1, 1, 1, 1});
    print_crashes("apricotstile", {});
    quarantine_policy none;
    none.crashes_to_suspect = 1000;
    none.crashes_to_refuse = 1000;
    print_crashes("no_quarantine", none);
    quarantine_policy blames;
    blames.faults.refuses_all_in_flight = true;
    print_crashes("blames_all_in_flight", blames);
    return 0;
}
