// Virtual clock, daemons and messages of the simulation.

#include <tests/assignment/assignment_world.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;
using namespace assignment;

constexpr duration tick_interval = 100ms;
constexpr duration lease_duration = 1s;
constexpr duration request_interval = 40ms;
constexpr std::size_t max_queue = 16;
constexpr std::uint32_t slots = 16;
const service_id registry{"registry"};

member::member_record
make_record(const member::member_ref& self, std::uint32_t slices) {
    member::member_record record;
    record.self = self;
    member::served_service served;
    served.service = registry;
    served.slots = slots;
    served.checks_tokens = true;
    served.slice_count = slices;
    record.services.push_back(served);
    return record;
}

} // namespace

assignment_simulation::assignment_simulation(
    const simulation_options& chosen, std::uint64_t seed
)
    : options{chosen}, random{seed} {
    for (int i = 0; i < 12; ++i) {
        this->keys.push_back(fmt::format("key-{}", i));
    }
    this->map_history.emplace(map_version{}, assignment_map{});
    this->daemons.resize(this->options.daemons);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->start_daemon(i, 1);
    }
}

void assignment_simulation::run_for(duration time) {
    const instant end = this->now + time;
    while (!this->events.empty() && this->events.begin()->first <= end &&
           this->violation.empty()) {
        auto first = this->events.extract(this->events.begin());
        this->now = first.key();
        first.mapped()();
        this->check_dispatchers();
    }
    this->now = end;
}

void assignment_simulation::schedule_event(duration delay, callback action) {
    this->events.emplace(this->now + delay, std::move(action));
}

/// Runs `action` if the daemon still has `expected_incarnation` then. A paused
/// daemon runs it when it resumes.
void assignment_simulation::schedule_at_daemon(
    std::size_t index,
    incarnation expected_incarnation,
    duration delay,
    callback action
) {
    this->schedule_event(
        delay,
        [this, index, expected_incarnation, action = std::move(action)] {
            simulated_daemon& one = this->daemons[index];
            if (!one.running || one.self.incarnation != expected_incarnation) {
                return;
            }
            if (one.paused) {
                one.deferred_events.push_back(action);
            } else {
                action();
            }
        }
    );
}

duration assignment_simulation::short_delay() {
    const auto micros = 500 + random_below(this->random, 30'000);
    return std::chrono::microseconds{micros};
}

void assignment_simulation::start_daemon(
    std::size_t index, std::uint64_t incarnation_number
) {
    simulated_daemon new_daemon;
    new_daemon.self = {host_id{index + 1}, incarnation{incarnation_number}};
    new_daemon.planner.self = new_daemon.self;
    new_daemon.owner.self = new_daemon.self;
    new_daemon.follower.self = new_daemon.self;
    new_daemon.lease_until = this->now + lease_duration;
    this->daemons[index] = std::move(new_daemon);
    const auto& self = this->daemons[index].self;
    this->members[self.host] = make_record(self, this->options.slices);
    this->send_members();
    this->tick(index, self.incarnation);
    this->schedule_arrival(index);
}

void assignment_simulation::tick(
    std::size_t index, incarnation expected_incarnation
) {
    this->schedule_at_daemon(
        index,
        expected_incarnation,
        tick_interval,
        [this, index, expected_incarnation] {
            simulated_daemon& one = this->daemons[index];
            if (!one.lease_renewal_stopped) {
                one.lease_until = this->now + lease_duration;
            }
            this->process(index, follower_tick{});
            this->process(index, digest_seen{digest_of(one.follower)});
            this->process(index, planner_tick{});
            this->process(index, owner_tick{});
            const std::size_t peer =
                random_below(this->random, this->daemons.size());
            this->deliver(index, host_id{peer + 1}, digest_of(one.follower));
            if (this->reporting_load && random_below(this->random, 20) == 0) {
                this->report_load(index);
            }
            this->tick(index, expected_incarnation);
        }
    );
}

void assignment_simulation::send_members() {
    const auto known = this->records();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const incarnation expected_incarnation =
            this->daemons[i].self.incarnation;
        this->schedule_at_daemon(
            i,
            expected_incarnation,
            this->short_delay(),
            [this, i, known] {
                std::vector<host_id> peers;
                for (const auto& one : known) {
                    if (one.self.host != this->daemons[i].self.host) {
                        peers.push_back(one.self.host);
                    }
                }
                this->process(i, peers_changed{peers});
                this->process(i, planner_members_changed{known});
                this->process(i, owner_members_changed{known});
            }
        );
    }
}

std::vector<member::member_record> assignment_simulation::records() const {
    std::vector<member::member_record> known;
    for (const auto& [host, record] : this->members) {
        known.push_back(record);
    }
    return known;
}

void assignment_simulation::deliver(
    std::size_t from, host_id to, const map_message& message
) {
    const std::size_t target = to.value - 1;
    if (target == from || this->daemons[from].isolated) {
        return;
    }
    const host_id sender{from + 1};
    std::uint32_t copies = 1;
    if (random_below(this->random, 1000) <
        this->options.lost_messages_per_mille) {
        copies = 0;
    }
    if (random_below(this->random, 1000) <
        this->options.duplicated_messages_per_mille) {
        ++copies;
    }
    for (std::uint32_t i = 0; i < copies; ++i) {
        const incarnation expected_incarnation =
            this->daemons[target].self.incarnation;
        this->schedule_at_daemon(
            target,
            expected_incarnation,
            this->short_delay(),
            [this, target, sender, message] {
                if (this->daemons[target].isolated) {
                    return;
                }
                if (const auto* load = std::get_if<load_report>(&message)) {
                    this->process(target, planner_event{*load});
                } else {
                    this->process(target, follower_message{sender, message});
                }
            }
        );
    }
}

/// Reports random load with one hot key, so that the planner moves ranges.
void assignment_simulation::report_load(std::size_t index) {
    const simulated_daemon& one = this->daemons[index];
    service_load load;
    load.service = registry;
    for (std::uint32_t i = 0; i < this->options.slices; ++i) {
        const auto* found =
            find_range(one.follower.map, {registry, slice_id{i}, {}});
        if (found != nullptr && found->owner == one.self) {
            const auto rate = random_below(this->random, 100);
            load.slices.push_back({slice_id{i}, static_cast<float>(rate)});
        }
    }
    const auto& key = this->keys[random_below(this->random, this->keys.size())];
    const auto owner = find_owner(one.follower.map, registry, key);
    if (owner && owner->assignment.owner == one.self) {
        load.keys.push_back({key, 80.0F});
    }
    const load_report report{one.self, {load}};
    this->process(index, planner_event{report});
    if (one.planner.holder.host != host_id{}) {
        this->deliver(index, one.planner.holder.host, report);
    }
}

void assignment_simulation::schedule_arrival(std::size_t index) {
    const incarnation expected_incarnation =
        this->daemons[index].self.incarnation;
    this->schedule_at_daemon(
        index,
        expected_incarnation,
        request_interval,
        [this, index] {
            simulated_daemon& one = this->daemons[index];
            const auto& key =
                this->keys[random_below(this->random, this->keys.size())];
            const auto decision = this->decide(one, key);
            const bool may_queue =
                decision.verdict == dispatch_verdict::serve ||
                decision.verdict == dispatch_verdict::hold;
            if (may_queue && one.queue.size() < max_queue) {
                one.queue.push_back({key, decision});
                this->schedule_at_daemon(
                    index,
                    one.self.incarnation,
                    this->short_delay() * 15,
                    [this, index] {
                        this->dispatch_next(index);
                    }
                );
            }
            this->schedule_arrival(index);
        }
    );
}

dispatch_decision assignment_simulation::decide(
    const simulated_daemon& daemon, const std::string& key
) const {
    const dispatch_view view{
        daemon.follower.map, daemon.owner, daemon.lease_until};
    return decide_dispatch(view, registry, key, this->now);
}

void assignment_simulation::dispatch_next(std::size_t index) {
    simulated_daemon& one = this->daemons[index];
    if (one.queue.empty()) {
        return;
    }
    const queued_request request = one.queue.front();
    one.queue.pop_front();
    const auto decision = this->options.faults.checks_before_queueing
                              ? request.decision_at_arrival
                              : this->decide(one, request.key);
    if (decision.verdict != dispatch_verdict::serve) {
        return;
    }
    for (const simulated_daemon& other : this->daemons) {
        const auto found = other.in_flight.find(request.key);
        const bool busy = found != other.in_flight.end() && found->second > 0;
        if (&other != &one && busy && other.running &&
            this->now < other.lease_until) {
            this->report_violation(
                "requests for a key are in flight at two owners: " + request.key
            );
        }
    }
    ++this->dispatched;
    ++one.in_flight[request.key];
    const duration work = this->short_delay() * 25;
    this->schedule_at_daemon(
        index,
        one.self.incarnation,
        work,
        [this, index, key = request.key] {
            --this->daemons[index].in_flight[key];
            this->finish_drains(index);
        }
    );
}

/// Reports drains that have no request in flight any more to the owner.
void assignment_simulation::finish_drains(std::size_t index) {
    simulated_daemon& one = this->daemons[index];
    std::vector<range_drained> done;
    for (const auto& [range, attempt] : one.drains) {
        bool busy = false;
        for (const auto& [key, count] : one.in_flight) {
            const slice_id slice = slice_of(key, this->options.slices);
            const bool inside =
                range.key.empty() ? slice == range.slice : key == range.key;
            busy = busy || (inside && count > 0);
        }
        if (!busy || this->options.faults.releases_before_drained) {
            done.push_back({range, attempt});
        }
    }
    for (const range_drained& event : done) {
        one.drains.erase(event.range);
        this->process(index, owner_event{event});
    }
}

void assignment_simulation::pause(std::size_t daemon) {
    this->daemons[daemon].paused = true;
}

void assignment_simulation::resume(std::size_t daemon) {
    simulated_daemon& one = this->daemons[daemon];
    one.paused = false;
    while (!one.deferred_events.empty() && !one.paused) {
        const auto first = std::move(one.deferred_events.front());
        one.deferred_events.pop_front();
        first();
        this->check_dispatchers();
    }
}

void assignment_simulation::set_isolated(std::size_t daemon, bool isolated) {
    this->daemons[daemon].isolated = isolated;
}

void assignment_simulation::crash(std::size_t daemon) {
    this->daemons[daemon].running = false;
    this->daemons[daemon].in_flight.clear();
}

void assignment_simulation::depose(std::size_t daemon) {
    simulated_daemon& one = this->daemons[daemon];
    one.lease_renewal_stopped = true;
    const member::member_ref self = one.self;
    const duration wait = one.lease_until - this->now + 1ms;
    this->schedule_event(std::max(wait, duration{1ms}), [this, self] {
        auto& record = this->members[self.host];
        if (record.self == self) {
            record.state = member::member_state::deposed;
            this->send_members();
        }
    });
}

void assignment_simulation::restart(std::size_t daemon) {
    const simulated_daemon& old = this->daemons[daemon];
    const auto state = this->members[old.self.host].state;
    const bool ended = state == member::member_state::deposed ||
                       state == member::member_state::left;
    if (ended) {
        this->start_daemon(daemon, old.self.incarnation.value + 1);
    }
}

void assignment_simulation::leave(std::size_t daemon) {
    simulated_daemon& one = this->daemons[daemon];
    auto& record = this->members[one.self.host];
    const bool may_leave = one.running && record.self == one.self &&
                           record.state == member::member_state::active;
    if (!may_leave) {
        return;
    }
    record.state = member::member_state::draining;
    one.leaving = true;
    this->send_members();
    this->schedule_at_daemon(
        daemon,
        one.self.incarnation,
        this->short_delay(),
        [this, daemon] {
            this->process(daemon, owner_event{leave_requested{}});
        }
    );
}

void assignment_simulation::end_all_faults() {
    this->set_store_down(false);
    this->lose_answers(false);
    this->options.lost_messages_per_mille = 0;
    this->reporting_load = false;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        simulated_daemon& one = this->daemons[i];
        one.isolated = false;
        if (!one.running) {
            this->depose(i);
        }
        if (one.paused) {
            this->resume(i);
        }
    }
    this->run_for(2s);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->restart(i);
    }
}

} // namespace apricotstile::tests
