// Steps of the simulation.

#include <tests/share/share_simulation.hpp>

#include <algorithm>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration simulation_step = 10ms;
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

member::member_ref ref_of(const share_simulation& sim, std::size_t at) {
    return {{at + 1}, {sim.hosts[at].incarnation}};
}

void send(
    share_simulation& sim,
    std::size_t from,
    host_id to,
    const share::share_message& message
) {
    const std::uint64_t copies = 1 + (random_below(sim.source, 8) == 0 ? 1 : 0);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (random_below(sim.source, 100) < sim.loss_percent) {
            continue;
        }
        const auto delay = static_cast<duration::rep>(random_below(
            sim.source, static_cast<std::uint64_t>(sim.longest_delay.count())
        ));
        sim.network.push_back(
            {sim.now + duration{delay}, from, to.value - 1, message}
        );
    }
}

share::ownership_lookup
ownership_at(const share_simulation& sim, std::size_t at) {
    return [&sim, at](const customer_id&)
               -> std::optional<share::customer_ownership> {
        if (at != sim.owner) {
            return std::nullopt;
        }
        const share_host& host = sim.hosts[at];
        return share::customer_ownership{
            sim.epoch, local(host, sim.owner_since), local(host, sim.now + 1s)};
    };
}

share::owner_lookup owner_of(const share_simulation& sim) {
    return [&sim](const customer_id&) {
        return host_id{sim.owner + 1};
    };
}

void step_lender(
    share_simulation& sim, std::size_t at, const share::lender_event& event
) {
    share_host& host = sim.hosts[at];
    const auto lookup = ownership_at(sim, at);
    const auto actions = share::step(
        host.lender, event, {host.book, lookup}, local(host, sim.now)
    );
    for (const share::send_grants& one : actions) {
        send(sim, at, one.to, one.grants);
    }
}

void step_ingress(
    share_simulation& sim, std::size_t at, const share::ingress_event& event
) {
    share_host& host = sim.hosts[at];
    const auto actions =
        share::step(host.ingress, event, owner_of(sim), local(host, sim.now));
    for (const share::ingress_action& action : actions) {
        if (const auto* claims = std::get_if<share::send_claims>(&action)) {
            send(sim, at, claims->to, claims->claims);
        }
    }
}

void deliver(share_simulation& sim, const message_in_transit& mail) {
    if (const auto* claims = std::get_if<share::share_claims>(&mail.message)) {
        step_lender(
            sim, mail.to, share::claims_received{{mail.from + 1}, *claims}
        );
    }
    if (const auto* grants = std::get_if<share::share_grants>(&mail.message)) {
        step_ingress(sim, mail.to, share::grants_received{*grants});
    }
    if (const auto* handover =
            std::get_if<share::share_handover>(&mail.message)) {
        step_lender(sim, mail.to, share::handover_received{*handover});
    }
}

bool is_paused(const share_simulation& sim, std::size_t at) {
    return sim.now < sim.hosts[at].paused_until;
}

void deliver_due(share_simulation& sim) {
    std::vector<message_in_transit> due;
    std::erase_if(sim.network, [&](const message_in_transit& one) {
        if (one.due > sim.now || is_paused(sim, one.to)) {
            return false;
        }
        due.push_back(one);
        return true;
    });
    for (const message_in_transit& one : due) {
        deliver(sim, one);
    }
}

void update_bound(share_simulation& sim) {
    share::refill(sim.bound, sim.now);
    if (sim.now < sim.bound_lowered_at) {
        return;
    }
    const share::share_amount amount = share::amount_of(sim.limits);
    // Tokens accrue faster by a clock that runs fast.
    share::reshape(
        sim.bound,
        amount.rate + amount.rate / 200 + 1,
        (amount.burst * share::level_of_one_request) +
            share::level_of_one_request / 1000
    );
    sim.bound_concurrency = amount.concurrency;
}

std::size_t running_everywhere(share_simulation& sim) {
    std::size_t count = 0;
    for (share_host& host : sim.hosts) {
        std::erase_if(host.work, [&](const running_request& one) {
            return one.end_reported && one.ends_at <= sim.now;
        });
        for (const running_request& one : host.work) {
            const bool runs = one.ends_at > sim.now && one.deadline > sim.now;
            count += runs ? 1 : 0;
        }
    }
    return count;
}

void check_admission(
    share_simulation& sim, share_host& host, duration allowed
) {
    if (!share::take(sim.bound, share::level_of_one_request)) {
        sim.violation = "more requests in a window than the plan allows";
    }
    const auto time = static_cast<std::uint64_t>(allowed.count());
    const duration run{
        static_cast<duration::rep>(random_below(sim.source, time) + 1)};
    host.work.push_back({sim.now + run, sim.now + allowed, false});
    if (running_everywhere(sim) > sim.bound_concurrency) {
        sim.violation = "more concurrent requests than the plan allows";
    }
}

void request(share_simulation& sim, std::size_t at) {
    share_host& host = sim.hosts[at];
    const duration time_left =
        random_below(sim.source, 50) == 0 ? duration{20s} : duration{200ms};
    const share::admission result = share::admit(
        host.ingress,
        host.book,
        {customer(), service(), time_left, 0},
        local(host, sim.now)
    );
    if (result.status == share::admission_status::admitted) {
        ++host.admitted;
        check_admission(sim, host, result.time_allowed);
        return;
    }
    ++host.refused;
    if (result.status == share::admission_status::wait_for_share) {
        step_ingress(sim, at, share::share_wanted{customer()});
    }
}

void make_requests(share_simulation& sim, std::size_t at) {
    const double step_seconds =
        std::chrono::duration<double>{simulation_step}.count();
    double expected = sim.hosts[at].demand * step_seconds;
    const auto random_fraction = [&] {
        return static_cast<double>(random_below(sim.source, 1'000'000)) / 1e6;
    };
    while (expected > 0) {
        if (random_fraction() < expected) {
            request(sim, at);
        }
        expected -= 1;
    }
}

void end_due_requests(share_simulation& sim, share_host& host) {
    for (running_request& one : host.work) {
        const bool due = one.ends_at <= sim.now || one.deadline <= sim.now;
        if (due && !one.end_reported) {
            one.end_reported = true;
            share::finish(host.ingress, customer());
        }
    }
}

void run_host(share_simulation& sim, std::size_t at) {
    share_host& host = sim.hosts[at];
    if (is_paused(sim, at)) {
        return;
    }
    make_requests(sim, at);
    end_due_requests(sim, host);
    if (sim.now.time_since_epoch() % tick_interval == duration{0}) {
        step_ingress(sim, at, share::ingress_tick{});
        step_lender(sim, at, share::lender_tick{});
    }
}

void start_host(share_simulation& sim, std::size_t at) {
    share_host& host = sim.hosts[at];
    for (running_request& one : host.work) {
        // The upstream may continue until the deadline.
        one.ends_at = one.deadline;
        one.end_reported = true;
    }
    host.ingress = {};
    host.ingress.policy = sim.policy;
    host.ingress.self = ref_of(sim, at);
    host.lender = {};
    host.lender.policy = sim.policy;
    host.book = make_book(sim.version, sim.limits);
}

/// Moves ownership after the loss of the owner, whose lease has expired.
void move_after_lease_expiry(share_simulation& sim, std::size_t to) {
    sim.owner = to;
    sim.epoch = next(sim.epoch);
    sim.owner_since = sim.now;
}

void restart(share_simulation& sim, std::size_t at) {
    ++sim.hosts[at].incarnation;
    start_host(sim, at);
    if (at == sim.owner) {
        move_after_lease_expiry(sim, (at + 1) % share_host_count);
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

void set_limits(share_simulation& sim, const plan::plan_limits& limits) {
    update_bound(sim);
    const share::share_amount all = share::component_max(
        share::amount_of(sim.limits), share::amount_of(limits)
    );
    const std::uint64_t capacity = sim.bound.capacity;
    share::reshape(
        sim.bound,
        std::max(sim.bound.rate, all.rate + all.rate / 200 + 1),
        std::max(
            sim.bound.capacity,
            all.burst * share::level_of_one_request +
                share::level_of_one_request / 1000
        )
    );
    // A window across the change is bounded by the greater burst, so that
    // tokens used before count against that one.
    sim.bound.level += sim.bound.capacity - capacity;
    sim.bound_concurrency = std::max(sim.bound_concurrency, all.concurrency);
    sim.limits = limits;
    sim.version = next(sim.version);
    for (share_host& host : sim.hosts) {
        host.book = make_book(sim.version, limits);
    }
    sim.bound_lowered_at = sim.now + sim.policy.lifetime +
                           sim.policy.longest_deadline +
                           4 * sim.policy.drift_margin;
}

void move_by_handover(share_simulation& sim, std::size_t to) {
    share_host& old = sim.hosts[sim.owner];
    const auto ownership = ownership_at(sim, sim.owner)(customer());
    const auto handover = share::hand_over(
        old.lender, slice_id{0}, *ownership, local(old, sim.now)
    );
    if (handover) {
        send(sim, sim.owner, {to + 1}, *handover);
    }
    sim.owner = to;
    sim.epoch = next(sim.epoch);
    sim.owner_since = sim.now;
}

void run_for(share_simulation& sim, duration time) {
    const instant end = sim.now + time;
    while (sim.now < end && sim.violation.empty()) {
        sim.now += simulation_step;
        update_bound(sim);
        deliver_due(sim);
        for (std::size_t at = 0; at < sim.hosts.size(); ++at) {
            run_host(sim, at);
        }
    }
}

void inject_random_fault(share_simulation& sim) {
    const std::size_t at = random_below(sim.source, share_host_count);
    switch (random_below(sim.source, 8)) {
    case 0:
        sim.hosts[at].paused_until =
            sim.now + random_below(sim.source, 12'000) * 1ms;
        break;
    case 1:
        move_after_lease_expiry(sim, at);
        break;
    case 2:
        if (at != sim.owner && !is_paused(sim, sim.owner)) {
            move_by_handover(sim, at);
        }
        break;
    case 3:
        restart(sim, at);
        break;
    case 4:
        set_limits(sim, random_limits(sim.source));
        break;
    case 5:
        sim.loss_percent = random_below(sim.source, 60);
        sim.longest_delay = (1 + random_below(sim.source, 3000)) * 1ms;
        break;
    default:
        sim.hosts[at].demand =
            static_cast<double>(random_below(sim.source, 4) * 60);
        break;
    }
}

void end_faults(share_simulation& sim) {
    sim.loss_percent = 0;
    sim.longest_delay = 30ms;
    for (share_host& host : sim.hosts) {
        host.paused_until = sim.now;
    }
}

share_simulation
make_share_simulation(std::uint64_t seed, const share::share_policy& policy) {
    share_simulation sim;
    sim.source.seed(seed);
    sim.policy = policy;
    sim.limits = random_limits(sim.source);
    sim.hosts.resize(share_host_count);
    sim.now += 1h;
    sim.owner_since = sim.now;
    for (std::size_t at = 0; at < sim.hosts.size(); ++at) {
        share_host& host = sim.hosts[at];
        const auto part =
            static_cast<double>(random_below(sim.source, 1000)) / 1000;
        host.clock_speed = 1 + (part - 0.5) * clock_spread;
        host.clock_offset = random_below(sim.source, 100) * 1h;
        start_host(sim, at);
    }
    update_bound(sim);
    sim.bound.level = sim.bound.capacity;
    sim.bound.updated = sim.now;
    return sim;
}

share_simulation
simulate_random_faults(std::uint64_t seed, const share::share_policy& policy) {
    share_simulation sim = make_share_simulation(seed, policy);
    sim.hosts[0].demand = 100;
    for (int round = 0; round < 30 && sim.violation.empty(); ++round) {
        inject_random_fault(sim);
        run_for(sim, random_below(sim.source, 2'000) * 1ms);
    }
    return sim;
}

} // namespace apricotstile::tests
