// The event queue, the network and the store of the test world, and the
// promises that are checked at each step.

#include <tests/lease/world.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::tests {

namespace {

constexpr true_time longest_lateness = std::chrono::seconds{3};
constexpr true_time store_timeout = std::chrono::seconds{1};
constexpr host_id store_host{};

bool chance(world& all, unsigned count, unsigned of) {
    return count != 0 && random_below(all.random, of) < count;
}

duration random_duration(world& all, duration longest) {
    const auto bound = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration{
        static_cast<duration::rep>(random_below(all.random, bound))};
}

duration network_delay(world& all) {
    const conditions& around = all.around;
    if (chance(all, around.late_percent, 100)) {
        return random_duration(all, longest_lateness);
    }
    return around.least_delay +
           random_duration(all, around.most_delay - around.least_delay);
}

bool is_cut(const world& all, host_id from, host_id to) {
    return all.cut.contains({from, to});
}

void report(world& all, std::string text) {
    if (all.violation.empty()) {
        all.violation = fmt::format("{} at {} ns", text, all.now.count());
    }
}

std::string name(const member::member_ref& ref) {
    return fmt::format("{}/{}", ref.host.value, ref.incarnation.value);
}

/// Nobody may hold a lease for a member that the table calls deposed.
void check_deposed(world& all, const member::member_ref& ref) {
    for (const process& one : all.processes) {
        if (!one.dead && lease::self_ref(one.self) == ref &&
            has_lease(one, all.now)) {
            report(all, "valid lease of deposed " + name(ref));
        }
    }
}

void check_record(
    world& all,
    const member::member_record& before,
    const member::member_record& after
) {
    if (after.generation < before.generation ||
        after.self.incarnation < before.self.incarnation) {
        report(all, "a generation or incarnation fell: " + name(after.self));
    }
    const bool was_over = before.state == member::member_state::deposed ||
                          before.state == member::member_state::left;
    if (before.self != after.self && !was_over &&
        before.self.incarnation != incarnation{}) {
        report(all, "joined over " + name(before.self));
    }
    if (was_over && before.self == after.self) {
        report(all, "written after its end: " + name(after.self));
    }
    if (after.state == member::member_state::deposed) {
        all.deposed.emplace(after.self, all.now);
        check_deposed(all, after.self);
    }
}

void check_committed(world& all, const platform::transaction& work) {
    for (const platform::mutation& change : work.mutations) {
        const auto record = decode<member::member_record>(*change.value);
        member::member_record& known = all.records[record.self.host];
        check_record(all, known, record);
        known = record;
    }
}

bool deposes(const platform::transaction& work) {
    const auto record =
        decode<member::member_record>(*work.mutations.front().value);
    return record.state == member::member_state::deposed;
}

/// Seeds a deposition conditional on the member alone, whatever its generation.
void ignore_versions(const world& all, platform::transaction& work) {
    for (std::size_t i = 0; i < work.conditions.size(); ++i) {
        const auto wanted =
            decode<member::member_record>(*work.mutations[i].value);
        const auto known = all.records.find(wanted.self.host);
        const auto row = all.table.rows.find(work.conditions[i].key.value);
        if (known != all.records.end() && known->second.self == wanted.self &&
            member::owns_slices(known->second.state)) {
            work.conditions[i].version = row->second.version;
        }
    }
}

void deliver(world& all, std::size_t index, const lease::event& what);

/// What the caller makes of an answer that didn't come in time.
platform::transaction_done timed_out(const platform::transaction_done& done) {
    return {done.id, {platform::commit_status::unknown, {}}};
}

platform::rows_read timed_out(const platform::rows_read& done) {
    return {done.id, {}};
}

template <class Result>
void time_out(world& all, std::size_t index, const Result& done) {
    plan(all, all.now + store_timeout, [&all, index, done] {
        deliver(all, index, timed_out(done));
    });
}

/// Gives a result to the process that asked, unless it lost its address.
template <class Result>
void answer(world& all, std::size_t index, duration delay, Result result) {
    plan(all, all.now + delay, [&all, index, result] {
        const process& one = all.processes[index];
        if (one.has_address && !is_cut(all, store_host, one.host)) {
            deliver(all, index, result);
        } else {
            time_out(all, index, result);
        }
    });
}

void run_transaction(
    world& all, std::size_t index, platform::submit_transaction asked
) {
    if (all.faults.deposition_unconditional && deposes(asked.work)) {
        ignore_versions(all, asked.work);
    }
    platform::transaction_done done{asked.id, {}};
    done.result = commit(all.table, asked.work);
    if (done.result.status == platform::commit_status::committed) {
        check_committed(all, asked.work);
    }
    const bool lost = chance(all, all.around.lost_answer_percent, 100);
    if (lost && !all.table.down) {
        time_out(all, index, done);
        return;
    }
    answer(all, index, all.around.store_latency / 2, done);
}

void perform(
    world& all, std::size_t index, const platform::submit_transaction& asked
) {
    const host_id host = all.processes[index].host;
    if (is_cut(all, host, store_host)) {
        time_out(all, index, platform::transaction_done{asked.id, {}});
        return;
    }
    const duration delay = all.around.store_latency / 2 +
                           (chance(all, all.around.late_percent, 100)
                                ? random_duration(all, longest_lateness)
                                : duration{});
    plan(all, all.now + delay, [&all, index, asked] {
        run_transaction(all, index, asked);
    });
}

void perform(world& all, std::size_t index, const platform::read_rows& asked) {
    const host_id host = all.processes[index].host;
    if (is_cut(all, host, store_host)) {
        time_out(all, index, platform::rows_read{asked.id, {}});
        return;
    }
    const duration half = all.around.store_latency / 2;
    plan(all, all.now + half, [&all, index, asked, half] {
        const platform::rows_read done{
            asked.id, read_prefix(all.table, asked.prefix)};
        answer(all, index, half, done);
    });
}

void transmit(world& all, host_id from, host_id to, const lease::event& what) {
    if (from != to &&
        (is_cut(all, from, to) || chance(all, all.around.loss_percent, 100))) {
        return;
    }
    plan(all, all.now + network_delay(all), [&all, to, what] {
        for (std::size_t i = 0; i < all.processes.size(); ++i) {
            if (all.processes[i].host == to && all.processes[i].has_address) {
                deliver(all, i, what);
            }
        }
    });
}

void perform(world& all, std::size_t index, const lease::send_message& asked) {
    const host_id from = all.processes[index].host;
    const lease::message_received what{from, asked.body};
    ++all.messages;
    if (all.counts_bytes) {
        all.message_bytes += encode(asked.body).size();
    }
    transmit(all, from, asked.to, what);
    if (chance(all, all.around.duplicate_percent, 100)) {
        transmit(all, from, asked.to, what);
    }
}

void perform(world& all, std::size_t index, const lease::members_seen& seen) {
    const host_id from = all.processes[index].host;
    std::set<host_id> hosts;
    for (const process& one : all.processes) {
        hosts.insert(one.host);
    }
    for (const host_id to : hosts) {
        transmit(all, from, to, lease::members_changed{seen.rows});
    }
}

void perform(world& all, std::size_t index, const lease::joined& news) {
    (void)index;
    if (!all.joined.insert(news.self).second) {
        report(all, "two runs joined as " + name(news.self));
    }
}

template <class Other>
void perform(world& all, std::size_t index, const Other& news) {
    (void)all;
    (void)index;
    (void)news;
}

void perform_all(world& all, std::size_t index, const lease::actions& asked) {
    for (const lease::action& one : asked) {
        std::visit(
            [&](const auto& what) {
                perform(all, index, what);
            },
            one
        );
    }
}

void seed_promise_after_consent(process& one, const lease::event& what) {
    const auto* received = std::get_if<lease::message_received>(&what);
    if (received == nullptr) {
        return;
    }
    if (const auto* asked = std::get_if<lease::heartbeat>(&received->body)) {
        one.self.guarding.wards[asked->holder].consented = {};
    }
}

/// Makes the step at the process's own time; its actions may be held back by
/// a pause that begins right after the decision.
void run_step(world& all, std::size_t index, const lease::event& what) {
    process& one = all.processes[index];
    if (all.faults.promise_after_consent) {
        seed_promise_after_consent(one, what);
    }
    lease::actions asked =
        lease::step(one.self, what, local_time(one, all.now), one.random);
    const member::member_ref ref = lease::self_ref(one.self);
    if (all.deposed.contains(ref) && has_lease(one, all.now)) {
        report(all, "lease renewed after deposition: " + name(ref));
    }
    if (!asked.empty() && chance(all, all.around.pause_per_mille, 1000)) {
        one.paused_until = all.now + random_duration(all, longest_lateness);
        plan(all, one.paused_until, [&all, index, asked] {
            if (!all.processes[index].dead) {
                perform_all(all, index, asked);
            }
        });
        return;
    }
    perform_all(all, index, asked);
}

void deliver(world& all, std::size_t index, const lease::event& what) {
    const process& one = all.processes[index];
    if (one.dead) {
        return;
    }
    if (all.now < one.paused_until) {
        plan(all, one.paused_until, [&all, index, what] {
            deliver(all, index, what);
        });
        return;
    }
    run_step(all, index, what);
}

void tick_on(world& all, std::size_t index) {
    const process& one = all.processes[index];
    if (one.dead) {
        return;
    }
    if (all.now >= one.paused_until) {
        run_step(all, index, lease::tick{});
    }
    const true_time next =
        std::max(all.now + all.around.tick, all.processes[index].paused_until);
    plan(all, next, [&all, index] {
        tick_on(all, index);
    });
}

} // namespace

host_id host_of(std::size_t index) {
    return host_id{index};
}

location location_of(std::size_t index, std::size_t regions) {
    const std::size_t region = index % regions;
    const std::size_t domain = index / regions % 2;
    return {
        region_id{fmt::format("region-{}", region)},
        failure_domain_id{fmt::format("region-{}-{}", region, domain)}};
}

void make_hosts(
    world& all, std::uint64_t seed, std::size_t count, std::size_t regions
) {
    all.random.seed(seed);
    if (all.faults.no_drift_margin) {
        all.limits.margin = {};
    }
    all.processes.reserve(count * 20);
    for (std::size_t index = 1; index <= count; ++index) {
        member::member_record wish;
        wish.self.host = host_of(index);
        wish.where = location_of(index, regions);
        process one;
        one.host = wish.self.host;
        one.self = lease::make_participant(wish, all.limits);
        one.random.seed(all.random());
        // The extremes are where a missing margin shows.
        constexpr std::int64_t drifts[] = {-10'000, 10'000, 0, 5'000};
        one.drift_ppm = drifts[random_below(all.random, 4)];
        one.dead = true;
        all.processes.push_back(std::move(one));
    }
}

std::size_t start(world& all, std::size_t index) {
    process& one = all.processes[index - 1];
    one.dead = false;
    plan(all, all.now + random_duration(all, all.around.tick), [&all, index] {
        tick_on(all, index - 1);
    });
    return index - 1;
}

process* current(world& all, host_id host) {
    for (process& one : all.processes) {
        if (one.host == host && one.has_address && !one.dead) {
            return &one;
        }
    }
    return nullptr;
}

void plan(world& all, true_time at, std::function<void()> run) {
    all.events.push_back({at, ++all.planned_events, std::move(run)});
    std::push_heap(all.events.begin(), all.events.end());
}

void run_until(world& all, true_time end) {
    while (!all.events.empty() && all.events.front().at <= end) {
        std::pop_heap(all.events.begin(), all.events.end());
        const world::planned next = std::move(all.events.back());
        all.events.pop_back();
        all.now = next.at;
        next.run();
    }
    all.now = end;
}

void send_event(world& all, std::size_t index, const lease::event& what) {
    deliver(all, index, what);
}

instant local_time(const process& one, true_time when) {
    constexpr std::int64_t million = 1'000'000;
    // Each clock starts at a different reading.
    const duration base = std::chrono::hours{one.host.value + 1};
    const std::int64_t gained = when.count() / million * one.drift_ppm;
    return instant{base + when + duration{gained}};
}

bool has_lease(const process& one, true_time when) {
    return local_time(one, when) < lease::lease_valid_until(one.self);
}

void pause(world& all, host_id host, duration length) {
    if (process* one = current(all, host)) {
        one->paused_until = std::max(one->paused_until, all.now + length);
    }
}

void kill(world& all, host_id host) {
    if (process* one = current(all, host)) {
        one->dead = true;
    }
}

namespace {

/// Seeds a restart that keeps the member and forgets what it promised and
/// consented to.
void keep_identity(
    lease::participant& fresh, const lease::participant& former
) {
    fresh = former;
    for (auto& [holder, ward] : fresh.guarding.wards) {
        ward.promised_until = instant::min();
        ward.listed_since = instant::min();
        ward.consented = {};
    }
    fresh.deposing = {};
    fresh.row.read = {};
    fresh.row.must_read = true;
    if (fresh.row.pending) {
        fresh.row.pending->operation = {};
        fresh.row.pending->uncertain = true;
    }
}

} // namespace

void replace(world& all, host_id host, duration frozen) {
    process* former = nullptr;
    for (process& one : all.processes) {
        if (one.host == host && one.has_address) {
            former = &one;
        }
    }
    process fresh;
    fresh.host = host;
    fresh.self = lease::make_participant(former->self.wish, all.limits);
    fresh.self.wish.state = member::member_state::active;
    fresh.self.planner = all.planner;
    fresh.random.seed(all.random());
    fresh.drift_ppm = former->drift_ppm;
    const bool was_member = former->self.stage == lease::phase::joined;
    if (all.faults.guardian_forgets && was_member) {
        keep_identity(fresh.self, former->self);
    }
    if (frozen == duration{} || all.faults.guardian_forgets) {
        former->dead = true;
    } else {
        former->paused_until = std::max(former->paused_until, all.now + frozen);
    }
    former->has_address = false;
    all.processes.push_back(std::move(fresh));
    const std::size_t index = all.processes.size() - 1;
    plan(all, all.now, [&all, index] {
        tick_on(all, index);
    });
}

void set_planner(world& all, host_id planner) {
    all.planner = planner;
    for (std::size_t i = 0; i < all.processes.size(); ++i) {
        deliver(all, i, lease::planner_changed{planner});
    }
}

} // namespace apricotstile::tests
