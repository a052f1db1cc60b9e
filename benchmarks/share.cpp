// Usable share of one plan under skewed and shifting demand, by lent shares,
// by fixed equal shares and by a call to the owner for each request, on a
// virtual clock; and what one customer costs by the number of daemons.

#include <apricotstile/core/random.hpp>
#include <apricotstile/share/ingress.hpp>
#include <apricotstile/share/lender.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>
#include <vector>

namespace {

using namespace apricotstile;
using namespace std::chrono_literals;

constexpr std::size_t host_count = 18;
constexpr std::uint32_t plan_rate = 1000;
constexpr duration one_way = 8ms;
constexpr duration world_step = 1ms;
constexpr duration tick_interval = 100ms;
constexpr duration work_time = 20ms;

struct mail {
    instant due;
    std::size_t to;
    share::share_message message;
};

struct host {
    share::ingress_state ingress;
    share::lender_state lender;
    double demand{0};
    double owed{0};
    std::vector<instant> running;
    /// A fixed equal part of the plan.
    share::token_bucket equal;
};

struct world {
    std::vector<host> hosts;
    std::vector<mail> network;
    plan::plan_book book;
    instant now{1h};
    random_source source{1};
    std::uint64_t admitted{0};
    /// The same requests by the two other ways.
    std::uint64_t admitted_equal{0};
    std::uint64_t admitted_central{0};
    share::token_bucket central;
    std::uint64_t offered{0};
    std::uint64_t bytes{0};
    std::uint64_t messages{0};
    /// Those that the owner sent or received.
    std::uint64_t owner_bytes{0};
    /// Elapsed time in the owner's decisions.
    duration owner_time{0};
};

const customer_id customer{"havengeld-portal"};
const service_id service{"registry"};

plan::plan_book make_book() {
    plan::plan_lists lists;
    plan::plan_limits limits;
    limits.services = {service};
    limits.requests_per_second = plan_rate;
    limits.burst = plan_rate / 10;
    limits.requests_at_once = plan_rate;
    lists.plans.plans[{"portal"}] = limits;
    lists.customers[customer] = {"portal"};
    return plan::compile({1}, lists);
}

world make_world(std::size_t count = host_count) {
    world w;
    w.book = make_book();
    w.hosts.resize(count);
    for (std::size_t at = 0; at < count; ++at) {
        w.hosts[at].ingress.self = {{at + 1}, {1}};
        w.hosts[at].equal.updated = w.now;
        share::reshape(
            w.hosts[at].equal,
            plan_rate * share::units_per_request / count,
            plan_rate / 10 * share::level_of_one_request / count
        );
    }
    w.central.updated = w.now;
    share::reshape(
        w.central,
        plan_rate * share::units_per_request,
        plan_rate / 10 * share::level_of_one_request
    );
    return w;
}

template <class Message>
void send(world& w, std::size_t from, std::size_t to, const Message& message) {
    const std::size_t size = encode(share::share_message{message}).size();
    w.bytes += size;
    ++w.messages;
    // All messages are to the owner or from it.
    w.owner_bytes += from == to ? 0 : size;
    w.network.push_back({w.now + one_way, to, message});
}

share::ownership_lookup ownership(const world& w, std::size_t at) {
    return
        [&w,
         at](const customer_id&) -> std::optional<share::customer_ownership> {
            if (at != 0) {
                return std::nullopt;
            }
            return share::customer_ownership{{1}, instant{1h}, w.now + 1s};
        };
}

void feed(world& w, std::size_t at, const share::lender_event& event) {
    const auto lookup = ownership(w, at);
    const auto start = std::chrono::steady_clock::now();
    const auto grants =
        step(w.hosts[at].lender, event, {w.book, lookup}, w.now);
    w.owner_time += at == 0 ? std::chrono::steady_clock::now() - start : 0ns;
    for (const auto& one : grants) {
        send(w, at, one.to.value - 1, one.grants);
    }
}

void feed(world& w, std::size_t at, const share::ingress_event& event) {
    const auto actions = step(
        w.hosts[at].ingress,
        event,
        [](const customer_id&) {
            return host_id{1};
        },
        w.now
    );
    for (const auto& action : actions) {
        if (const auto* claims = std::get_if<share::send_claims>(&action)) {
            send(w, at, claims->to.value - 1, claims->claims);
        }
    }
}

void deliver(world& w) {
    std::vector<mail> due;
    std::erase_if(w.network, [&](const mail& one) {
        if (one.due > w.now) {
            return false;
        }
        due.push_back(one);
        return true;
    });
    for (const mail& one : due) {
        if (const auto* claims =
                std::get_if<share::share_claims>(&one.message)) {
            feed(
                w, one.to, share::claims_received{claims->holder.host, *claims}
            );
        } else if (const auto* grants = std::get_if<share::share_grants>(&one.message)) {
            feed(w, one.to, share::grants_received{*grants});
        }
    }
}

void request(world& w, std::size_t at) {
    ++w.offered;
    host& from = w.hosts[at];
    share::refill(from.equal, w.now);
    if (share::take(from.equal, share::level_of_one_request)) {
        ++w.admitted_equal;
    }
    // The owner sees the request one way later, which shifts all alike.
    share::refill(w.central, w.now);
    if (share::take(w.central, share::level_of_one_request)) {
        ++w.admitted_central;
    }
    const auto result =
        share::admit(from.ingress, w.book, {customer, service, 1s, 0}, w.now);
    if (result.status == share::admission_status::admitted) {
        ++w.admitted;
        from.running.push_back(w.now + work_time);
    } else if (result.status == share::admission_status::wait_for_share) {
        feed(w, at, share::share_wanted{customer});
    }
}

void run_host(world& w, std::size_t at) {
    host& one = w.hosts[at];
    one.owed += one.demand * std::chrono::duration<double>{world_step}.count();
    for (; one.owed >= 1; one.owed -= 1) {
        request(w, at);
    }
    std::erase_if(one.running, [&](instant ends) {
        if (ends > w.now) {
            return false;
        }
        share::finish(one.ingress, customer);
        return true;
    });
    if (w.now.time_since_epoch() % tick_interval == duration{0}) {
        feed(w, at, share::ingress_tick{});
        feed(w, at, share::lender_tick{});
    }
}

void run(world& w, duration time) {
    const instant end = w.now + time;
    while (w.now < end) {
        w.now += world_step;
        deliver(w);
        for (std::size_t at = 0; at < w.hosts.size(); ++at) {
            run_host(w, at);
        }
    }
}

/// Demands by Zipf's law from `first` on, `total` requests a second together.
void set_demand(world& w, std::size_t first, double total) {
    double sum = 0;
    for (std::size_t at = 0; at < w.hosts.size(); ++at) {
        sum += 1 / std::pow(static_cast<double>(at + 1), 1.2);
    }
    for (std::size_t at = 0; at < w.hosts.size(); ++at) {
        const double part =
            1 / std::pow(static_cast<double>(at + 1), 1.2) / sum;
        w.hosts[(first + at) % w.hosts.size()].demand = total * part;
    }
}

struct counts {
    std::uint64_t lent{0};
    std::uint64_t equal{0};
    std::uint64_t central{0};
};

counts counts_of(const world& w) {
    return {w.admitted, w.admitted_equal, w.admitted_central};
}

double usable(
    std::uint64_t admitted, std::uint64_t before, double offered, double seconds
) {
    const double rate = static_cast<double>(admitted - before) / seconds;
    return rate / std::min(offered, static_cast<double>(plan_rate));
}

void report(
    world& w, std::string_view point, double seconds, const counts& before
) {
    double offered = 0;
    for (const host& one : w.hosts) {
        offered += one.demand;
    }
    const counts now = counts_of(w);
    fmt::print(
        "{{\"point\":\"{}\",\"hosts\":{},\"plan_rate\":{},\"offered\":{:.0f},"
        "\"usable_lent\":{:.3f},\"usable_equal\":{:.3f},"
        "\"usable_owner_call\":{:.3f},\"added_ms_owner_call\":{}}}\n",
        point,
        host_count,
        plan_rate,
        offered,
        usable(now.lent, before.lent, offered, seconds),
        usable(now.equal, before.equal, offered, seconds),
        usable(now.central, before.central, offered, seconds),
        2 * one_way / 1ms
    );
}

void measure_use() {
    for (const double total : {800.0, 1500.0}) {
        world w = make_world();
        set_demand(w, 1, total);
        run(w, 10s);
        counts before = counts_of(w);
        const std::uint64_t bytes = w.bytes;
        const std::uint64_t messages = w.messages;
        run(w, 20s);
        report(w, "steady_skewed", 20, before);
        fmt::print(
            "{{\"point\":\"traffic\",\"offered\":{:.0f},"
            "\"bytes_per_second_per_host\":{:.0f},"
            "\"messages_per_second_per_host\":{:.2f}}}\n",
            total,
            static_cast<double>(w.bytes - bytes) / 20 / host_count,
            static_cast<double>(w.messages - messages) / 20 / host_count
        );
        for (int shift = 0; shift < 3; ++shift) {
            set_demand(w, static_cast<std::size_t>(5 + 4 * shift), total);
            before = counts_of(w);
            run(w, 1s);
            report(w, "first_second_after_shift", 1, before);
            run(w, 1s);
            before = counts_of(w);
            run(w, 5s);
            report(w, "from_2_s_after_shift", 5, before);
        }
    }
}

/// One customer in use on all of `count` daemons, its owner among them.
void measure_traffic(std::size_t count) {
    constexpr double total = 800;
    constexpr auto settled = 10s;
    constexpr auto length = 20s;
    world w = make_world(count);
    set_demand(w, 1, total);
    run(w, settled);
    const std::uint64_t bytes = w.bytes;
    const std::uint64_t owner_bytes = w.owner_bytes;
    const duration owner_time = w.owner_time;
    run(w, length);
    const double seconds = std::chrono::duration<double>{length}.count();
    const std::chrono::duration<double> busy = w.owner_time - owner_time;
    fmt::print(
        "{{\"point\":\"traffic of one customer\",\"hosts\":{},"
        "\"offered\":{:.0f},\"bytes_per_second_per_host\":{:.0f},"
        "\"owner_bytes_per_second\":{:.0f},\"owner_core_percent\":{:.3f}}}\n",
        count,
        total,
        static_cast<double>(w.bytes - bytes) / seconds /
            static_cast<double>(count),
        static_cast<double>(w.owner_bytes - owner_bytes) / seconds,
        busy.count() / seconds * 100
    );
}

} // namespace

int main() {
    for (const std::size_t count : {18U, 100U, 740U}) {
        measure_traffic(count);
    }
    measure_use();
    return 0;
}
