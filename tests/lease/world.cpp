// Event queue, network and store of the simulation, and the properties that are
// checked at each step.

#include <tests/lease/world_steps.hpp>

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

/// No process may hold a valid lease for a member that is deposed in the table.
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
        report(all, "generation or incarnation decreased: " + name(after.self));
    }
    const bool was_over = before.state == member::member_state::deposed ||
                          before.state == member::member_state::left;
    if (before.self != after.self && !was_over &&
        before.self.incarnation != incarnation{}) {
        report(all, "row replaced without deposition: " + name(before.self));
    }
    if (was_over && before.self == after.self) {
        report(all, "row written after membership ended: " + name(after.self));
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

/// Seeds a fault: a deposition that depends on the member only, whatever the
/// version of its row.
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

/// The result that the caller assumes after a timeout.
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

/// Delivers a result to the process that asked. If the process has lost its
/// address or the answer is cut off, it times out instead.
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
        report(all, "two processes joined as " + name(news.self));
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

/// Runs the step at the process's local time. A pause that begins right after
/// the decision may delay its actions.
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

} // namespace

duration random_duration(world& all, duration longest) {
    const auto bound = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration{
        static_cast<duration::rep>(random_below(all.random, bound))};
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

} // namespace apricotstile::tests
