// The world's clock, daemons and messages.

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
constexpr duration lease_length = 1s;
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

assignment_world::assignment_world(
    const world_options& chosen, std::uint64_t seed
)
    : options{chosen}, random{seed} {
    for (int i = 0; i < 12; ++i) {
        this->keys.push_back(fmt::format("key-{}", i));
    }
    this->versions.emplace(map_version{}, assignment_map{});
    this->daemons.resize(this->options.daemons);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->start_daemon(i, 1);
    }
}

void assignment_world::run_for(duration time) {
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

void assignment_world::at(duration delay, call what) {
    this->events.emplace(this->now + delay, std::move(what));
}

/// Runs `what` at the daemon's `run` only; a paused daemon does so later.
void assignment_world::at_daemon(
    std::size_t index, incarnation run, duration delay, call what
) {
    this->at(delay, [this, index, run, what = std::move(what)] {
        world_daemon& one = this->daemons[index];
        if (!one.running || one.self.incarnation != run) {
            return;
        }
        if (one.paused) {
            one.held.push_back(what);
        } else {
            what();
        }
    });
}

duration assignment_world::short_delay() {
    const auto micros = 500 + random_below(this->random, 30'000);
    return std::chrono::microseconds{micros};
}

void assignment_world::start_daemon(std::size_t index, std::uint64_t run) {
    world_daemon fresh;
    fresh.self = {host_id{index + 1}, incarnation{run}};
    fresh.planner.self = fresh.self;
    fresh.owner.self = fresh.self;
    fresh.follower.self = fresh.self;
    fresh.lease_until = this->now + lease_length;
    this->daemons[index] = std::move(fresh);
    const auto& self = this->daemons[index].self;
    this->members[self.host] = make_record(self, this->options.slices);
    this->tell_members();
    this->tick(index, self.incarnation);
    this->arrive(index);
}

void assignment_world::tick(std::size_t index, incarnation run) {
    this->at_daemon(index, run, tick_interval, [this, index, run] {
        world_daemon& one = this->daemons[index];
        if (!one.lease_stopped) {
            one.lease_until = this->now + lease_length;
        }
        this->feed(index, follower_tick{});
        this->feed(index, digest_seen{digest_of(one.follower)});
        this->feed(index, planner_tick{});
        this->feed(index, owner_tick{});
        const std::size_t peer =
            random_below(this->random, this->daemons.size());
        this->deliver(index, host_id{peer + 1}, digest_of(one.follower));
        if (this->reports_load && random_below(this->random, 20) == 0) {
            this->report_load(index);
        }
        this->tick(index, run);
    });
}

void assignment_world::tell_members() {
    const auto known = this->records();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const incarnation run = this->daemons[i].self.incarnation;
        this->at_daemon(i, run, this->short_delay(), [this, i, known] {
            std::vector<host_id> peers;
            for (const auto& one : known) {
                if (one.self.host != this->daemons[i].self.host) {
                    peers.push_back(one.self.host);
                }
            }
            this->feed(i, peers_changed{peers});
            this->feed(i, planner_members_changed{known});
            this->feed(i, owner_members_changed{known});
        });
    }
}

std::vector<member::member_record> assignment_world::records() const {
    std::vector<member::member_record> known;
    for (const auto& [host, record] : this->members) {
        known.push_back(record);
    }
    return known;
}

void assignment_world::deliver(
    std::size_t from, host_id to, const map_message& message
) {
    const std::size_t target = to.value - 1;
    if (target == from || this->daemons[from].cut_off) {
        return;
    }
    const host_id sender{from + 1};
    std::uint32_t copies = 1;
    if (random_below(this->random, 1000) < this->options.message_loss) {
        copies = 0;
    }
    if (random_below(this->random, 1000) < this->options.message_copies) {
        ++copies;
    }
    for (std::uint32_t i = 0; i < copies; ++i) {
        const incarnation run = this->daemons[target].self.incarnation;
        this->at_daemon(
            target,
            run,
            this->short_delay(),
            [this, target, sender, message] {
                if (this->daemons[target].cut_off) {
                    return;
                }
                if (const auto* load = std::get_if<load_report>(&message)) {
                    this->feed(target, planner_event{*load});
                } else {
                    this->feed(target, follower_message{sender, message});
                }
            }
        );
    }
}

/// Some slices and keys are hot at times, so that ranges move.
void assignment_world::report_load(std::size_t index) {
    const world_daemon& one = this->daemons[index];
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
    this->feed(index, planner_event{report});
    if (one.planner.holder.host != host_id{}) {
        this->deliver(index, one.planner.holder.host, report);
    }
}

void assignment_world::arrive(std::size_t index) {
    const incarnation run = this->daemons[index].self.incarnation;
    this->at_daemon(index, run, request_interval, [this, index] {
        world_daemon& one = this->daemons[index];
        const auto& key =
            this->keys[random_below(this->random, this->keys.size())];
        const auto decision = this->decide(one, key);
        const bool wanted = decision.verdict == dispatch_verdict::serve ||
                            decision.verdict == dispatch_verdict::hold;
        if (wanted && one.queue.size() < max_queue) {
            one.queue.push_back({key, decision});
            this->at_daemon(
                index,
                one.self.incarnation,
                this->short_delay() * 15,
                [this, index] {
                    this->dispatch_next(index);
                }
            );
        }
        this->arrive(index);
    });
}

dispatch_decision assignment_world::decide(
    const world_daemon& daemon, const std::string& key
) const {
    const dispatch_view view{
        daemon.follower.map, daemon.owner, daemon.lease_until};
    return decide_dispatch(view, registry, key, this->now);
}

void assignment_world::dispatch_next(std::size_t index) {
    world_daemon& one = this->daemons[index];
    if (one.queue.empty()) {
        return;
    }
    const queued_request request = one.queue.front();
    one.queue.pop_front();
    const auto decision = this->options.faults.checks_before_queueing
                              ? request.at_arrival
                              : this->decide(one, request.key);
    if (decision.verdict != dispatch_verdict::serve) {
        return;
    }
    for (const world_daemon& other : this->daemons) {
        const auto found = other.in_flight.find(request.key);
        const bool busy = found != other.in_flight.end() && found->second > 0;
        if (&other != &one && busy && other.running &&
            this->now < other.lease_until) {
            this->broken("a key is worked on at two owners: " + request.key);
        }
    }
    ++this->dispatched;
    ++one.in_flight[request.key];
    const duration work = this->short_delay() * 25;
    this->at_daemon(
        index,
        one.self.incarnation,
        work,
        [this, index, key = request.key] {
            --this->daemons[index].in_flight[key];
            this->finish_drains(index);
        }
    );
}

/// Tells the owner of each drain that has no work in flight any more.
void assignment_world::finish_drains(std::size_t index) {
    world_daemon& one = this->daemons[index];
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
        this->feed(index, owner_event{event});
    }
}

void assignment_world::pause(std::size_t daemon) {
    this->daemons[daemon].paused = true;
}

void assignment_world::resume(std::size_t daemon) {
    world_daemon& one = this->daemons[daemon];
    one.paused = false;
    while (!one.held.empty() && !one.paused) {
        const auto first = std::move(one.held.front());
        one.held.pop_front();
        first();
        this->check_dispatchers();
    }
}

void assignment_world::cut_off(std::size_t daemon, bool cut) {
    this->daemons[daemon].cut_off = cut;
}

void assignment_world::crash(std::size_t daemon) {
    this->daemons[daemon].running = false;
    this->daemons[daemon].in_flight.clear();
}

void assignment_world::depose(std::size_t daemon) {
    world_daemon& one = this->daemons[daemon];
    one.lease_stopped = true;
    const member::member_ref self = one.self;
    const duration wait = one.lease_until - this->now + 1ms;
    this->at(std::max(wait, duration{1ms}), [this, self] {
        auto& record = this->members[self.host];
        if (record.self == self) {
            record.state = member::member_state::deposed;
            this->tell_members();
        }
    });
}

void assignment_world::restart(std::size_t daemon) {
    const world_daemon& old = this->daemons[daemon];
    const auto state = this->members[old.self.host].state;
    const bool ended = state == member::member_state::deposed ||
                       state == member::member_state::left;
    if (ended) {
        this->start_daemon(daemon, old.self.incarnation.value + 1);
    }
}

void assignment_world::leave(std::size_t daemon) {
    world_daemon& one = this->daemons[daemon];
    auto& record = this->members[one.self.host];
    const bool may_leave = one.running && record.self == one.self &&
                           record.state == member::member_state::active;
    if (!may_leave) {
        return;
    }
    record.state = member::member_state::draining;
    one.leaving = true;
    this->tell_members();
    this->at_daemon(
        daemon,
        one.self.incarnation,
        this->short_delay(),
        [this, daemon] {
            this->feed(daemon, owner_event{leave_requested{}});
        }
    );
}

void assignment_world::heal() {
    this->set_store(false);
    this->lose_answers(false);
    this->options.message_loss = 0;
    this->reports_load = false;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        world_daemon& one = this->daemons[i];
        one.cut_off = false;
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
