// Steps of the simulation.

#include <tests/share/share_world.hpp>

#include <algorithm>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration world_step = 10ms;
constexpr duration tick_interval = 100ms;
/// Greatest difference in speed between the clocks of two hosts, as a ratio.
constexpr double clock_spread = 0.001;

const customer_id& customer() {
    static const customer_id id{"marina-delfzijl"};
    return id;
}

const service_id& service() {
    static const service_id id{"registry"};
    return id;
}

plan::plan_book make_book(plan_version version, plan::plan_limits limits) {
    plan::plan_lists lists;
    lists.plans.plans[{"plan"}] = std::move(limits);
    lists.customers[customer()] = {"plan"};
    return plan::compile(version, lists);
}

/// Reading of the host's own clock.
instant local(const share_host& host, instant now) {
    const auto run = static_cast<double>(now.time_since_epoch().count());
    return instant{
        duration{static_cast<duration::rep>(run * host.clock_speed)} +
        host.clock_offset};
}

member::member_ref ref_of(const share_world& w, std::size_t at) {
    return {{at + 1}, {w.hosts[at].incarnation}};
}

void send(
    share_world& w,
    std::size_t from,
    host_id to,
    const share::share_message& message
) {
    const std::uint64_t copies = 1 + (random_below(w.source, 8) == 0 ? 1 : 0);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (random_below(w.source, 100) < w.loss_percent) {
            continue;
        }
        const auto delay = static_cast<duration::rep>(random_below(
            w.source, static_cast<std::uint64_t>(w.longest_delay.count())
        ));
        w.network.push_back(
            {w.now + duration{delay}, from, to.value - 1, message}
        );
    }
}

share::ownership_lookup ownership_at(const share_world& w, std::size_t at) {
    return
        [&w,
         at](const customer_id&) -> std::optional<share::customer_ownership> {
            if (at != w.owner) {
                return std::nullopt;
            }
            const share_host& host = w.hosts[at];
            return share::customer_ownership{
                w.epoch, local(host, w.owner_since), local(host, w.now + 1s)};
        };
}

share::owner_lookup owner_of(const share_world& w) {
    return [&w](const customer_id&) {
        return host_id{w.owner + 1};
    };
}

void feed_lender(
    share_world& w, std::size_t at, const share::lender_event& event
) {
    share_host& host = w.hosts[at];
    const auto lookup = ownership_at(w, at);
    const auto actions = share::step(
        host.lender, event, {host.book, lookup}, local(host, w.now)
    );
    for (const share::send_grants& one : actions) {
        send(w, at, one.to, one.grants);
    }
}

void feed_ingress(
    share_world& w, std::size_t at, const share::ingress_event& event
) {
    share_host& host = w.hosts[at];
    const auto actions =
        share::step(host.ingress, event, owner_of(w), local(host, w.now));
    for (const share::ingress_action& action : actions) {
        if (const auto* claims = std::get_if<share::send_claims>(&action)) {
            send(w, at, claims->to, claims->claims);
        }
    }
}

void deliver(share_world& w, const share_mail& mail) {
    if (const auto* claims = std::get_if<share::share_claims>(&mail.message)) {
        feed_lender(
            w, mail.to, share::claims_received{{mail.from + 1}, *claims}
        );
    }
    if (const auto* grants = std::get_if<share::share_grants>(&mail.message)) {
        feed_ingress(w, mail.to, share::grants_received{*grants});
    }
    if (const auto* handover =
            std::get_if<share::share_handover>(&mail.message)) {
        feed_lender(w, mail.to, share::handover_received{*handover});
    }
}

bool is_paused(const share_world& w, std::size_t at) {
    return w.now < w.hosts[at].paused_until;
}

void deliver_due(share_world& w) {
    std::vector<share_mail> due;
    std::erase_if(w.network, [&](const share_mail& one) {
        if (one.due > w.now || is_paused(w, one.to)) {
            return false;
        }
        due.push_back(one);
        return true;
    });
    for (const share_mail& one : due) {
        deliver(w, one);
    }
}

void fit_bound(share_world& w) {
    share::refill(w.bound, w.now);
    if (w.now < w.bound_falls) {
        return;
    }
    const share::share_amount amount = share::amount_of(w.limits);
    // Tokens accrue faster by a clock that runs fast.
    share::reshape(
        w.bound,
        amount.rate + amount.rate / 200 + 1,
        (amount.burst * share::level_of_one_request) +
            share::level_of_one_request / 1000
    );
    w.bound_at_once = amount.concurrency;
}

std::size_t running_everywhere(share_world& w) {
    std::size_t count = 0;
    for (share_host& host : w.hosts) {
        std::erase_if(host.work, [&](const running_work& one) {
            return one.settled_at_host && one.settled <= w.now;
        });
        for (const running_work& one : host.work) {
            const bool runs = one.settled > w.now && one.deadline > w.now;
            count += runs ? 1 : 0;
        }
    }
    return count;
}

void note_admission(share_world& w, share_host& host, duration allowed) {
    if (!share::take(w.bound, share::level_of_one_request)) {
        w.broken = "more requests in a window than the plan allows";
    }
    const auto time = static_cast<std::uint64_t>(allowed.count());
    const duration run{
        static_cast<duration::rep>(random_below(w.source, time) + 1)};
    host.work.push_back({w.now + run, w.now + allowed, false});
    if (running_everywhere(w) > w.bound_at_once) {
        w.broken = "more concurrent requests than the plan allows";
    }
}

void request(share_world& w, std::size_t at) {
    share_host& host = w.hosts[at];
    const duration time_left =
        random_below(w.source, 50) == 0 ? duration{20s} : duration{200ms};
    const share::admission result = share::admit(
        host.ingress,
        host.book,
        {customer(), service(), time_left, 0},
        local(host, w.now)
    );
    if (result.status == share::admission_status::admitted) {
        ++host.admitted;
        note_admission(w, host, result.time_allowed);
        return;
    }
    ++host.refused;
    if (result.status == share::admission_status::wait_for_share) {
        feed_ingress(w, at, share::share_wanted{customer()});
    }
}

void make_requests(share_world& w, std::size_t at) {
    const double step_seconds =
        std::chrono::duration<double>{world_step}.count();
    double expected = w.hosts[at].demand * step_seconds;
    const auto coin = [&] {
        return static_cast<double>(random_below(w.source, 1'000'000)) / 1e6;
    };
    while (expected > 0) {
        if (coin() < expected) {
            request(w, at);
        }
        expected -= 1;
    }
}

void settle_work(share_world& w, share_host& host) {
    for (running_work& one : host.work) {
        const bool due = one.settled <= w.now || one.deadline <= w.now;
        if (due && !one.settled_at_host) {
            one.settled_at_host = true;
            share::finish(host.ingress, customer());
        }
    }
}

void run_host(share_world& w, std::size_t at) {
    share_host& host = w.hosts[at];
    if (is_paused(w, at)) {
        return;
    }
    make_requests(w, at);
    settle_work(w, host);
    if (w.now.time_since_epoch() % tick_interval == duration{0}) {
        feed_ingress(w, at, share::ingress_tick{});
        feed_lender(w, at, share::lender_tick{});
    }
}

void start_host(share_world& w, std::size_t at) {
    share_host& host = w.hosts[at];
    for (running_work& one : host.work) {
        // The upstream may continue until the deadline.
        one.settled = one.deadline;
        one.settled_at_host = true;
    }
    host.ingress = {};
    host.ingress.policy = w.policy;
    host.ingress.self = ref_of(w, at);
    host.lender = {};
    host.lender.policy = w.policy;
    host.book = make_book(w.version, w.limits);
}

/// Moves ownership after the loss of the owner, whose lease has expired.
void move_by_deposition(share_world& w, std::size_t to) {
    w.owner = to;
    w.epoch = next(w.epoch);
    w.owner_since = w.now;
}

void restart(share_world& w, std::size_t at) {
    ++w.hosts[at].incarnation;
    start_host(w, at);
    if (at == w.owner) {
        move_by_deposition(w, (at + 1) % share_host_count);
    }
}

plan::plan_limits random_limits(random_source& source) {
    plan::plan_limits limits;
    limits.services = {service()};
    limits.requests_per_second =
        static_cast<std::uint32_t>(1 + random_below(source, 200));
    limits.burst = static_cast<std::uint32_t>(1 + random_below(source, 40));
    limits.requests_at_once =
        static_cast<std::uint32_t>(1 + random_below(source, 20));
    return limits;
}

} // namespace

void set_limits(share_world& w, const plan::plan_limits& limits) {
    fit_bound(w);
    const share::share_amount all = share::component_max(
        share::amount_of(w.limits), share::amount_of(limits)
    );
    const std::uint64_t capacity = w.bound.capacity;
    share::reshape(
        w.bound,
        std::max(w.bound.rate, all.rate + all.rate / 200 + 1),
        std::max(
            w.bound.capacity,
            all.burst * share::level_of_one_request +
                share::level_of_one_request / 1000
        )
    );
    // A window across the change is bounded by the greater burst, so that
    // tokens used before count against that one.
    w.bound.level += w.bound.capacity - capacity;
    w.bound_at_once = std::max(w.bound_at_once, all.concurrency);
    w.limits = limits;
    w.version = next(w.version);
    for (share_host& host : w.hosts) {
        host.book = make_book(w.version, limits);
    }
    w.bound_falls = w.now + w.policy.lifetime + w.policy.longest_deadline +
                    4 * w.policy.drift_margin;
}

void move_planned(share_world& w, std::size_t to) {
    share_host& old = w.hosts[w.owner];
    const auto ownership = ownership_at(w, w.owner)(customer());
    const auto handover = share::hand_over(
        old.lender, slice_id{0}, *ownership, local(old, w.now)
    );
    if (handover) {
        send(w, w.owner, {to + 1}, *handover);
    }
    w.owner = to;
    w.epoch = next(w.epoch);
    w.owner_since = w.now;
}

void run_for(share_world& w, duration time) {
    const instant end = w.now + time;
    while (w.now < end && w.broken.empty()) {
        w.now += world_step;
        fit_bound(w);
        deliver_due(w);
        for (std::size_t at = 0; at < w.hosts.size(); ++at) {
            run_host(w, at);
        }
    }
}

void disturb(share_world& w) {
    const std::size_t at = random_below(w.source, share_host_count);
    switch (random_below(w.source, 8)) {
    case 0:
        w.hosts[at].paused_until = w.now + random_below(w.source, 12'000) * 1ms;
        break;
    case 1:
        move_by_deposition(w, at);
        break;
    case 2:
        if (at != w.owner && !is_paused(w, w.owner)) {
            move_planned(w, at);
        }
        break;
    case 3:
        restart(w, at);
        break;
    case 4:
        set_limits(w, random_limits(w.source));
        break;
    case 5:
        w.loss_percent = random_below(w.source, 60);
        w.longest_delay = (1 + random_below(w.source, 3000)) * 1ms;
        break;
    default:
        w.hosts[at].demand =
            static_cast<double>(random_below(w.source, 4) * 60);
        break;
    }
}

void heal(share_world& w) {
    w.loss_percent = 0;
    w.longest_delay = 30ms;
    for (share_host& host : w.hosts) {
        host.paused_until = w.now;
    }
}

share_world
make_share_world(std::uint64_t seed, const share::share_policy& policy) {
    share_world w;
    w.source.seed(seed);
    w.policy = policy;
    w.limits = random_limits(w.source);
    w.hosts.resize(share_host_count);
    w.now += 1h;
    w.owner_since = w.now;
    for (std::size_t at = 0; at < w.hosts.size(); ++at) {
        share_host& host = w.hosts[at];
        const auto part =
            static_cast<double>(random_below(w.source, 1000)) / 1000;
        host.clock_speed = 1 + (part - 0.5) * clock_spread;
        host.clock_offset = random_below(w.source, 100) * 1h;
        start_host(w, at);
    }
    fit_bound(w);
    w.bound.level = w.bound.capacity;
    w.bound.updated = w.now;
    return w;
}

share_world
disturbed_shares(std::uint64_t seed, const share::share_policy& policy) {
    share_world w = make_share_world(seed, policy);
    w.hosts[0].demand = 100;
    for (int round = 0; round < 30 && w.broken.empty(); ++round) {
        disturb(w);
        run_for(w, random_below(w.source, 2'000) * 1ms);
    }
    return w;
}

} // namespace apricotstile::tests
