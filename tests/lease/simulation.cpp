// Event queue, network and store of the simulation, and the properties that are
// checked at each step.

#include <tests/lease/simulation_steps.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::tests {

namespace {

constexpr true_time max_extra_delay = std::chrono::seconds{3};
constexpr true_time store_timeout = std::chrono::seconds{1};
constexpr host_id store_host{};

bool chance(simulation& sim, unsigned count, unsigned of) {
    return count != 0 && random_below(sim.random, of) < count;
}

duration network_delay(simulation& sim) {
    const environment_conditions& conditions = sim.environment;
    if (chance(sim, conditions.late_percent, 100)) {
        return random_duration(sim, max_extra_delay);
    }
    return conditions.min_delay +
           random_duration(sim, conditions.max_delay - conditions.min_delay);
}

bool is_cut(const simulation& sim, host_id from, host_id to) {
    return sim.cut.contains({from, to});
}

void report_violation(simulation& sim, std::string text) {
    if (sim.violation.empty()) {
        sim.violation = fmt::format("{} at {} ns", text, sim.now.count());
    }
}

std::string name(const member::member_ref& ref) {
    return fmt::format("{}/{}", ref.host.value, ref.incarnation.value);
}

/// No process may hold a valid lease for a member that is deposed in the table.
void check_deposed(simulation& sim, const member::member_ref& ref) {
    for (const process& one : sim.processes) {
        if (!one.dead && lease::self_ref(one.self) == ref &&
            has_lease(one, sim.now)) {
            report_violation(sim, "valid lease of deposed " + name(ref));
        }
    }
}

void check_record(
    simulation& sim,
    const member::member_record& before,
    const member::member_record& after
) {
    if (after.generation < before.generation ||
        after.self.incarnation < before.self.incarnation) {
        report_violation(
            sim, "generation or incarnation decreased: " + name(after.self)
        );
    }
    const bool had_ended = before.state == member::member_state::deposed ||
                           before.state == member::member_state::left;
    if (before.self != after.self && !had_ended &&
        before.self.incarnation != incarnation{}) {
        report_violation(
            sim, "row replaced without deposition: " + name(before.self)
        );
    }
    if (had_ended && before.self == after.self) {
        report_violation(
            sim, "row written after membership ended: " + name(after.self)
        );
    }
    if (after.state == member::member_state::deposed) {
        sim.deposed.emplace(after.self, sim.now);
        check_deposed(sim, after.self);
    }
}

void check_committed(
    simulation& sim, const platform::transaction& transaction
) {
    for (const platform::mutation& change : transaction.mutations) {
        const auto record = decode<member::member_record>(*change.value);
        member::member_record& known = sim.records[record.self.host];
        check_record(sim, known, record);
        known = record;
    }
}

bool deposes(const platform::transaction& transaction) {
    const auto record =
        decode<member::member_record>(*transaction.mutations.front().value);
    return record.state == member::member_state::deposed;
}

/// Seeds a fault: a deposition that depends on the member only, whatever the
/// version of its row.
void ignore_versions(
    const simulation& sim, platform::transaction& transaction
) {
    for (std::size_t i = 0; i < transaction.conditions.size(); ++i) {
        const auto wanted =
            decode<member::member_record>(*transaction.mutations[i].value);
        const auto known = sim.records.find(wanted.self.host);
        const auto row =
            sim.table.rows.find(transaction.conditions[i].key.value);
        if (known != sim.records.end() && known->second.self == wanted.self &&
            member::owns_slices(known->second.state)) {
            transaction.conditions[i].version = row->second.version;
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
void time_out(simulation& sim, std::size_t index, const Result& done) {
    schedule_event(sim, sim.now + store_timeout, [&sim, index, done] {
        deliver(sim, index, timed_out(done));
    });
}

/// Delivers a result to the process that asked. If the process has lost its
/// address or the answer is cut off, it times out instead.
template <class Result>
void answer(simulation& sim, std::size_t index, duration delay, Result result) {
    schedule_event(sim, sim.now + delay, [&sim, index, result] {
        const process& one = sim.processes[index];
        if (one.has_address && !is_cut(sim, store_host, one.host)) {
            deliver(sim, index, result);
        } else {
            time_out(sim, index, result);
        }
    });
}

void run_transaction(
    simulation& sim, std::size_t index, platform::submit_transaction request
) {
    if (sim.faults.deposition_unconditional && deposes(request.work)) {
        ignore_versions(sim, request.work);
    }
    platform::transaction_done done{request.id, {}};
    done.result = commit(sim.table, request.work);
    if (done.result.status == platform::commit_status::committed) {
        check_committed(sim, request.work);
    }
    const bool lost = chance(sim, sim.environment.lost_answer_percent, 100);
    if (lost && !sim.table.down) {
        time_out(sim, index, done);
        return;
    }
    answer(sim, index, sim.environment.store_latency / 2, done);
}

void perform(
    simulation& sim,
    std::size_t index,
    const platform::submit_transaction& request
) {
    const host_id host = sim.processes[index].host;
    if (is_cut(sim, host, store_host)) {
        time_out(sim, index, platform::transaction_done{request.id, {}});
        return;
    }
    const duration delay = sim.environment.store_latency / 2 +
                           (chance(sim, sim.environment.late_percent, 100)
                                ? random_duration(sim, max_extra_delay)
                                : duration{});
    schedule_event(sim, sim.now + delay, [&sim, index, request] {
        run_transaction(sim, index, request);
    });
}

void perform(
    simulation& sim, std::size_t index, const platform::read_rows& request
) {
    const host_id host = sim.processes[index].host;
    if (is_cut(sim, host, store_host)) {
        time_out(sim, index, platform::rows_read{request.id, {}});
        return;
    }
    const duration half = sim.environment.store_latency / 2;
    schedule_event(sim, sim.now + half, [&sim, index, request, half] {
        const platform::rows_read done{
            request.id, read_prefix(sim.table, request.prefix)};
        answer(sim, index, half, done);
    });
}

void transmit(
    simulation& sim, host_id from, host_id to, const lease::event& event
) {
    if (from != to && (is_cut(sim, from, to) ||
                       chance(sim, sim.environment.loss_percent, 100))) {
        return;
    }
    schedule_event(sim, sim.now + network_delay(sim), [&sim, to, event] {
        for (std::size_t i = 0; i < sim.processes.size(); ++i) {
            if (sim.processes[i].host == to && sim.processes[i].has_address) {
                deliver(sim, i, event);
            }
        }
    });
}

void perform(
    simulation& sim, std::size_t index, const lease::send_message& request
) {
    const host_id from = sim.processes[index].host;
    const lease::message_received event{from, request.body};
    ++sim.messages;
    if (sim.counts_bytes) {
        sim.message_bytes += encode(request.body).size();
    }
    transmit(sim, from, request.to, event);
    if (chance(sim, sim.environment.duplicate_percent, 100)) {
        transmit(sim, from, request.to, event);
    }
}

void perform(
    simulation& sim, std::size_t index, const lease::member_rows_learned& seen
) {
    const host_id from = sim.processes[index].host;
    std::set<host_id> hosts;
    for (const process& one : sim.processes) {
        hosts.insert(one.host);
    }
    for (const host_id to : hosts) {
        transmit(sim, from, to, lease::member_rows_received{seen.rows});
    }
}

void perform(
    simulation& sim, std::size_t index, const lease::join_completed& action
) {
    (void)index;
    if (!sim.joined.insert(action.self).second) {
        report_violation(sim, "two processes joined as " + name(action.self));
    }
}

template <class Other>
void perform(simulation& sim, std::size_t index, const Other& action) {
    (void)sim;
    (void)index;
    (void)action;
}

void perform_all(
    simulation& sim, std::size_t index, const lease::actions& actions
) {
    for (const lease::action& one : actions) {
        std::visit(
            [&](const auto& action) {
                perform(sim, index, action);
            },
            one
        );
    }
}

void seed_promise_after_consent(process& one, const lease::event& event) {
    const auto* received = std::get_if<lease::message_received>(&event);
    if (received == nullptr) {
        return;
    }
    if (const auto* request = std::get_if<lease::heartbeat>(&received->body)) {
        one.self.guardian.holders[request->holder].consented = {};
    }
}

/// Runs the step at the process's local time. A pause that begins right after
/// the decision may delay its actions.
void run_step(simulation& sim, std::size_t index, const lease::event& event) {
    process& one = sim.processes[index];
    if (sim.faults.promise_after_consent) {
        seed_promise_after_consent(one, event);
    }
    lease::actions actions =
        lease::step(one.self, event, local_time(one, sim.now), one.random);
    const member::member_ref ref = lease::self_ref(one.self);
    if (sim.deposed.contains(ref) && has_lease(one, sim.now)) {
        report_violation(sim, "lease renewed after deposition: " + name(ref));
    }
    if (!actions.empty() &&
        chance(sim, sim.environment.pause_per_mille, 1000)) {
        one.paused_until = sim.now + random_duration(sim, max_extra_delay);
        schedule_event(sim, one.paused_until, [&sim, index, actions] {
            if (!sim.processes[index].dead) {
                perform_all(sim, index, actions);
            }
        });
        return;
    }
    perform_all(sim, index, actions);
}

} // namespace

duration random_duration(simulation& sim, duration longest) {
    const auto bound = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration{
        static_cast<duration::rep>(random_below(sim.random, bound))};
}

void deliver(simulation& sim, std::size_t index, const lease::event& event) {
    const process& one = sim.processes[index];
    if (one.dead) {
        return;
    }
    if (sim.now < one.paused_until) {
        schedule_event(sim, one.paused_until, [&sim, index, event] {
            deliver(sim, index, event);
        });
        return;
    }
    run_step(sim, index, event);
}

void run_ticks(simulation& sim, std::size_t index) {
    const process& one = sim.processes[index];
    if (one.dead) {
        return;
    }
    if (sim.now >= one.paused_until) {
        run_step(sim, index, lease::tick{});
    }
    const true_time next = std::max(
        sim.now + sim.environment.tick, sim.processes[index].paused_until
    );
    schedule_event(sim, next, [&sim, index] {
        run_ticks(sim, index);
    });
}

void schedule_event(simulation& sim, true_time at, std::function<void()> run) {
    sim.events.push_back({at, ++sim.scheduled_count, std::move(run)});
    std::push_heap(sim.events.begin(), sim.events.end());
}

void run_until(simulation& sim, true_time end) {
    while (!sim.events.empty() && sim.events.front().at <= end) {
        std::pop_heap(sim.events.begin(), sim.events.end());
        const simulation::scheduled_event next = std::move(sim.events.back());
        sim.events.pop_back();
        sim.now = next.at;
        next.run();
    }
    sim.now = end;
}

} // namespace apricotstile::tests
