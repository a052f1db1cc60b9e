// The event loop of the simulation and its hosts.

#include <tests/keys/key_simulation.hpp>

#include <apricotstile/core/random.hpp>
#include <apricotstile/keys/key_lease_guardian.hpp>
#include <apricotstile/keys/key_owner.hpp>
#include <apricotstile/keys/takeover.hpp>
#include <tests/support/fake_table.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;
using namespace apricotstile::keys;

constexpr std::size_t host_count = 5;
constexpr instant start_time{24h};
constexpr duration heartbeat_interval = 870ms;
constexpr duration tick_interval = 200ms;
const service_id service{"registry"};

struct instance {
    directory::instance_run identity;
    bool up{true};
    /// Rate of its clock; grants last longer on a slow one.
    double rate{1};
    std::uint64_t sequence{0};
    std::vector<held_range> holds;
    std::vector<released_range> released;
    instant grants_expire_at;
    std::uint64_t last_answered{0};
};

struct daemon_process {
    key_owner state;
    key_lease_guardian guardian_state;
    std::uint64_t last_promise_request{0};
    /// When each request for promises was sent, by its sequence number.
    std::map<std::uint64_t, instant> promise_requests;
    bool reading{false};
    instant last_read;
};

struct host {
    host_id id;
    double rate{1};
    bool up{true};
    bool lost{false};
    instant frozen_until;
    std::uint64_t run{0};
    std::optional<daemon_process> daemon;
    instance server;
};

struct simulation {
    explicit simulation(const key_simulation_options& options)
        : options(options), random(options.seed) {}

    key_simulation_options options;
    random_source random;
    instant now{start_time};
    std::multimap<instant, std::function<void()>> events;
    std::vector<host> hosts;
    fake_table table;
    bool table_down{false};
    /// For a sample of the keys: the highest fencing token that any instance
    /// accepted, and the host of the last one that did.
    std::map<key_number, std::pair<fencing_token, std::size_t>> accepted_fences;
    key_simulation_result result;
    /// When all keys were last held.
    instant gap_since;
    /// Whether all keys have been held at one time at least.
    bool fully_assigned{false};

    bool chance(unsigned percent) {
        return random_below(this->random, 100) < percent;
    }

    duration random_duration(duration shortest, duration longest) {
        const auto span =
            static_cast<std::uint64_t>((longest - shortest).count());
        return shortest + duration{static_cast<duration::rep>(
                              random_below(this->random, span + 1)
                          )};
    }

    void schedule(duration delay, std::function<void()> action) {
        this->events.emplace(this->now + delay, std::move(action));
    }

    /// Sends a message; with faults, some are lost or late.
    void send(std::function<void()> action) {
        if (this->options.faults && this->chance(3)) {
            return;
        }
        const duration max_delay =
            this->options.faults && this->chance(5) ? 1500ms : 20ms;
        this->schedule(
            this->random_duration(1ms, max_delay), std::move(action)
        );
    }

    /// The current time on the host's own clock.
    [[nodiscard]] instant clock(const host& one) const {
        return start_time + scaled(this->now - start_time, one.rate);
    }

    /// Runs `action` in the given run of the daemon, after a freeze has ended.
    /// Drops it if that run has ended.
    void run_in_daemon(
        std::size_t index, std::uint64_t run, std::function<void()> action
    ) {
        host& one = this->hosts[index];
        if (!one.up || !one.daemon || one.run != run) {
            return;
        }
        if (one.frozen_until > this->now) {
            this->events.emplace(
                one.frozen_until,
                [this, index, run, action = std::move(action)] {
                    this->run_in_daemon(index, run, action);
                }
            );
            return;
        }
        action();
    }

    std::size_t index_of(host_id id) const {
        return static_cast<std::size_t>(id.value - 1);
    }

    membership_view view_of(std::size_t self) {
        membership_view view;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            const host& one = this->hosts[i];
            if (one.up && one.server.up && one.daemon) {
                view.rank += i < self ? 1 : 0;
                view.members.push_back({one.id, one.server.identity, 0});
            }
        }
        view.members_unchanged_since = this->clock(this->hosts[self]) - 2s;
        return view;
    }

    void start_daemon(std::size_t index) {
        host& one = this->hosts[index];
        ++one.run;
        one.up = true;
        daemon_process added;
        added.state = make_key_owner({}, one.id, incarnation{one.run}, service);
        added.state.grants_expire_at =
            this->clock(one) + max_promise_duration(added.state.policy.lease);
        added.guardian_state.started = this->clock(one);
        added.guardian_state.run = incarnation{one.run};
        one.daemon = std::move(added);
        this->schedule_every(index, one.run, tick_interval, [this, index] {
            this->run_daemon_step(index);
        });
        this->schedule_every(index, one.run, 500ms, [this, index] {
            this->request_promises(index);
        });
        this->schedule_every(index, one.run, 250ms, [this, index] {
            this->request_revocations(index);
        });
    }

    void schedule_every(
        std::size_t index,
        std::uint64_t run,
        duration interval,
        const std::function<void()>& action
    ) {
        this->schedule(interval, [this, index, run, interval, action] {
            if (this->hosts[index].run != run || !this->hosts[index].up) {
                return;
            }
            this->run_in_daemon(index, run, action);
            this->schedule_every(index, run, interval, action);
        });
    }

    void request_promises(std::size_t index) {
        host& one = this->hosts[index];
        daemon_process& self = *one.daemon;
        if (!self.state.instance) {
            return;
        }
        guardian_list wanted;
        for (const host& other : this->hosts) {
            if (other.id != one.id && other.up && wanted.size() < 3) {
                wanted.push_back({other.id, incarnation{other.run}});
            }
        }
        self.state.wanted_guardians = wanted;
        const std::uint64_t sequence = ++self.last_promise_request;
        self.promise_requests[sequence] = this->clock(one);
        for (const guardian_id& target : all_guardians(self.state)) {
            const platform::row_version version = self.state.lease_version;
            this->send([this, index, run = one.run, target, version, sequence] {
                this->request_promise(index, run, target, version, sequence);
            });
        }
    }

    void request_promise(
        std::size_t holder,
        std::uint64_t run,
        const guardian_id& target,
        platform::row_version version,
        std::uint64_t sequence
    ) {
        const std::size_t at = this->index_of(target.host);
        this->run_in_daemon(at, this->hosts[at].run, [=, this] {
            host& guard = this->hosts[at];
            const promise_result result = promise(
                guard.daemon->guardian_state,
                this->hosts[holder].id,
                version,
                target.run,
                this->clock(guard) - this->options.early_promise_expiry
            );
            this->send([=, this] {
                this->run_in_daemon(holder, run, [=, this] {
                    daemon_process& self = *this->hosts[holder].daemon;
                    if (result == promise_result::promised) {
                        handle_promise(
                            self.state,
                            target,
                            self.promise_requests.at(sequence)
                        );
                    } else if (result == promise_result::lease_revoked) {
                        handle_promise_refusal(self.state);
                    }
                });
            });
        });
    }

    void request_revocations(std::size_t index) {
        daemon_process& self = *this->hosts[index].daemon;
        for (auto& [id, lease] : self.state.watched_leases) {
            const host& owner = this->hosts[this->index_of(id)];
            const bool suspected = !owner.up ||
                                   owner.frozen_until > this->now ||
                                   (this->options.faults && this->chance(5));
            if (id == this->hosts[index].id || !suspected ||
                owned_key_count(self.state.map, id) == 0) {
                continue;
            }
            for (const guardian_id& guard : lease.guardians) {
                this->request_consent(index, id, guard.host, lease.version);
            }
        }
    }

    void request_consent(
        std::size_t requester,
        host_id holder,
        host_id guard,
        platform::row_version version
    ) {
        const std::uint64_t run = this->hosts[requester].run;
        this->send([=, this] {
            const std::size_t at = this->index_of(guard);
            this->run_in_daemon(at, this->hosts[at].run, [=, this] {
                host& one = this->hosts[at];
                const bool consented = consent_to_revocation(
                    one.daemon->guardian_state,
                    holder,
                    version,
                    this->clock(one)
                );
                if (!consented) {
                    return;
                }
                this->send([=, this] {
                    this->run_in_daemon(requester, run, [=, this] {
                        handle_consent(
                            this->hosts[requester].daemon->state,
                            guard,
                            holder,
                            version
                        );
                    });
                });
            });
        });
    }

    void run_daemon_step(std::size_t index) {
        host& one = this->hosts[index];
        daemon_process& self = *one.daemon;
        const instant time = this->clock(one);
        if (!self.reading &&
            (self.state.needs_read || time - self.last_read > 1s)) {
            this->read(index);
        }
        const membership_view view = this->view_of(index);
        retarget_releases(self.state, view);
        const ownership_changes wanted =
            plan_takeover(self.state, {}, view, time);
        current_instances instances;
        for (const key_member& other : view.members) {
            instances.emplace(other.host, other.instance);
        }
        if (this->options.faults && this->chance(2) &&
            view.members.size() > 1 && self.state.releases.empty()) {
            const auto kept = kept_ranges(self.state);
            if (!kept.empty()) {
                const std::size_t to = static_cast<std::size_t>(
                    random_below(this->random, view.members.size())
                );
                if (view.members[to].host != one.id) {
                    start_release(
                        self.state, kept.front().keys, view.members[to].host
                    );
                }
            }
        }
        auto work = start_next_transaction(self.state, wanted, instances, time);
        if (!work) {
            return;
        }
        if (this->options.omits_map_condition) {
            std::erase_if(
                work->conditions,
                [](const platform::condition& condition) {
                    return condition.key == map_row_key(service);
                }
            );
        }
        this->result.revocations += wanted.revoked_owners.size();
        this->submit(index, *work);
    }

    void submit(std::size_t index, const platform::transaction& work) {
        const std::uint64_t run = this->hosts[index].run;
        const bool answer_lost = this->options.faults && this->chance(10);
        const duration effect = answer_lost && this->chance(50)
                                    ? this->random_duration(1s, 6s)
                                    : this->random_duration(1ms, 30ms);
        const auto done = std::make_shared<platform::commit_result>();
        const auto seen_era = std::make_shared<platform::table_era>();
        const platform::table_era era = this->hosts[index].daemon->state.era;
        this->schedule(effect, [this, work, done, seen_era, era] {
            if (this->table_down) {
                return;
            }
            *seen_era = this->table.era;
            if (era == this->table.era) {
                *done = commit(this->table, work);
            } else {
                done->status = platform::commit_status::unknown;
            }
        });
        const duration reply = answer_lost ? 1500ms : effect + 5ms;
        this->schedule(reply, [=, this] {
            this->run_in_daemon(index, run, [=, this] {
                platform::commit_result reported = *done;
                if (answer_lost) {
                    reported = {platform::commit_status::unknown, {}, {}};
                }
                const auto change = handle_commit_result(
                    this->hosts[index].daemon->state,
                    reported,
                    this->clock(this->hosts[index])
                );
                if (change) {
                    this->broadcast_change(index, *change);
                }
                if (!answer_lost) {
                    this->note_era(index, *seen_era);
                }
            });
        });
    }

    /// A response has shown the table's era.
    void note_era(std::size_t index, platform::table_era era) {
        key_owner& state = this->hosts[index].daemon->state;
        if (era > state.era && !state.in_flight) {
            begin_era(state, era, false, this->clock(this->hosts[index]));
            if (this->options.ignores_earlier_leases) {
                state.no_takeover_of_unowned_before = instant::min();
            }
        }
    }

    /// Sends a map change to the other daemons; some get it late, some never.
    void broadcast_change(std::size_t from, const key_map_change& change) {
        constexpr std::uint64_t one_lost_in = 10;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (index == from || !this->hosts[index].daemon ||
                random_below(this->random, one_lost_in) == 0) {
                continue;
            }
            const std::uint64_t run = this->hosts[index].run;
            this->schedule(this->random_duration(1ms, 80ms), [=, this] {
                this->run_in_daemon(index, run, [=, this] {
                    key_owner& state = this->hosts[index].daemon->state;
                    if (apply_map_change(state, change) == change_result::gap) {
                        state.needs_read = true;
                    }
                });
            });
        }
    }

    void read(std::size_t index) {
        const std::uint64_t run = this->hosts[index].run;
        this->hosts[index].daemon->reading = true;
        this->schedule(this->random_duration(1ms, 30ms), [=, this] {
            platform::read_result read;
            const platform::table_era era = this->table.era;
            if (!this->table_down) {
                read = read_prefix(this->table, "leases/");
                const auto maps = read_prefix(this->table, "keys/");
                read.rows.insert(
                    read.rows.end(), maps.rows.begin(), maps.rows.end()
                );
            }
            this->schedule(this->random_duration(1ms, 30ms), [=, this] {
                this->run_in_daemon(index, run, [=, this] {
                    this->handle_read(index, read, era);
                });
            });
        });
    }

    void handle_read(
        std::size_t index,
        const platform::read_result& read,
        platform::table_era era
    ) {
        host& one = this->hosts[index];
        daemon_process& self = *one.daemon;
        self.reading = false;
        self.last_read = this->clock(one);
        if (!read.answered) {
            return;
        }
        if (era == self.state.era && !self.state.in_flight) {
            apply_rows(self.state, read.rows, this->clock(one));
        }
        this->note_era(index, era);
    }

    void start_server(std::size_t index) {
        instance& server = this->hosts[index].server;
        const auto started_ms = (this->now - start_time) / 1ms + 1;
        server = {};
        server.identity = {fmt::format("i-{}", index), started_ms};
        server.rate =
            0.98 +
            0.02 * static_cast<double>(random_below(this->random, 100)) / 100;
        this->schedule_heartbeat(
            index, this->random_duration(10ms, heartbeat_interval), started_ms
        );
    }

    void schedule_heartbeat(
        std::size_t index, duration delay, std::int64_t started_ms
    ) {
        this->schedule(delay, [this, index, started_ms] {
            instance& server = this->hosts[index].server;
            if (!server.up || server.identity.started_ms != started_ms) {
                return;
            }
            this->send_heartbeat(index);
            const bool releasing = !server.released.empty();
            this->schedule_heartbeat(
                index, releasing ? 100ms : heartbeat_interval, started_ms
            );
        });
    }

    void send_heartbeat(std::size_t index) {
        instance& server = this->hosts[index].server;
        this->expire_grants(server);
        heartbeat beat;
        beat.service = service;
        beat.instance = server.identity;
        beat.sequence = ++server.sequence;
        beat.slots = 14;
        beat.holds = server.holds;
        beat.released = server.released;
        const instant sent = this->now;
        const std::uint64_t run = this->hosts[index].run;
        const duration delay =
            this->options.faults && this->chance(3) ? 900ms : 1ms;
        this->schedule(delay, [=, this] {
            this->run_in_daemon(index, run, [=, this] {
                host& one = this->hosts[index];
                const heartbeat_answer answer =
                    handle_heartbeat(one.daemon->state, beat, this->clock(one));
                this->send([=, this] {
                    this->take_answer(index, beat, sent, answer);
                });
            });
        });
    }

    void take_answer(
        std::size_t index,
        const heartbeat& beat,
        instant sent,
        const heartbeat_answer& answer
    ) {
        instance& server = this->hosts[index].server;
        // Instances discard an answer after a second.
        if (!server.up || server.identity != beat.instance ||
            beat.sequence <= server.last_answered || this->now > sent + 1s) {
            return;
        }
        server.last_answered = beat.sequence;
        server.released.clear();
        if (!answer.grants) {
            return;
        }
        const std::vector<held_range> before = server.holds;
        server.holds.clear();
        for (const key_grant& one : answer.keys) {
            server.holds.push_back({one.keys, one.fence});
            this->check_fence(index, one);
            ++this->result.grants;
        }
        server.grants_expire_at =
            sent + scaled(answer.grant_duration, 1.0 / server.rate);
        for (const held_range& old : before) {
            const bool kept = std::any_of(
                server.holds.begin(),
                server.holds.end(),
                [&](const held_range& held) {
                    return overlap(held.keys, old.keys);
                }
            );
            if (!kept) {
                server.released.push_back({old.keys, "handover"});
            }
        }
        this->expire_grants(server);
    }

    void expire_grants(instance& server) const {
        if (this->now >= server.grants_expire_at) {
            server.holds.clear();
        }
    }

    /// Checks that a key goes to another instance only under a higher token.
    void check_fence(std::size_t index, const key_grant& grant) {
        for (key_number key = grant.keys.first; key <= grant.keys.last;
             key += 512) {
            auto& [fence, holder] = this->accepted_fences[key];
            if (holder != index && grant.fence <= fence) {
                this->report_violation(fmt::format(
                    "key {} was granted to host {} with token {}, not above {}",
                    key,
                    index,
                    grant.fence.value,
                    fence.value
                ));
            }
            fence = std::max(fence, grant.fence);
            holder = index;
        }
    }

    void report_violation(std::string description) {
        if (!this->result.violation) {
            this->result.violation = fmt::format(
                "at {} ms: {}", (this->now - start_time) / 1ms, description
            );
        }
    }

    void check_invariants() {
        std::uint64_t held = 0;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            instance& one = this->hosts[i].server;
            this->expire_grants(one);
            if (!one.up) {
                continue;
            }
            for (const held_range& range : one.holds) {
                held += size_of(range.keys);
            }
            for (std::size_t j = 0; j < i; ++j) {
                this->check_pair(i, j);
            }
        }
        this->fully_assigned = this->fully_assigned || held == key_count;
        if (held == key_count || !this->fully_assigned) {
            this->gap_since = this->now;
            return;
        }
        const duration gap = this->now - this->gap_since;
        this->result.longest_gap = std::max(this->result.longest_gap, gap);
        if (this->now > start_time + this->options.length - 10s) {
            this->result.last_gap = std::max(this->result.last_gap, gap);
        }
    }

    void check_pair(std::size_t left, std::size_t right) {
        const instance& other = this->hosts[right].server;
        if (!other.up) {
            return;
        }
        for (const held_range& a : this->hosts[left].server.holds) {
            for (const held_range& b : other.holds) {
                if (overlap(a.keys, b.keys)) {
                    this->report_violation(fmt::format(
                        "hosts {} and {} hold key {}",
                        left,
                        right,
                        std::max(a.keys.first, b.keys.first)
                    ));
                }
            }
        }
    }

    void inject_fault() {
        const auto index = static_cast<std::size_t>(
            random_below(this->random, this->hosts.size())
        );
        host& one = this->hosts[index];
        switch (random_below(this->random, 6)) {
        case 0:
            one.frozen_until = this->now + this->random_duration(100ms, 6s);
            break;
        case 1:
            this->kill_daemon(index, this->random_duration(300ms, 4s));
            break;
        case 2:
            one.server.up = false;
            this->schedule(this->random_duration(200ms, 4s), [this, index] {
                if (!this->hosts[index].lost) {
                    this->start_server(index);
                }
            });
            break;
        case 3:
            this->table_down = true;
            this->schedule(this->random_duration(500ms, 9s), [this] {
                this->table_down = false;
            });
            break;
        case 4:
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                this->kill_daemon(i, this->random_duration(300ms, 2s));
            }
            break;
        default:
            break;
        }
    }

    /// The table is away for a moment and comes back older.
    void rewind_table() {
        this->table_down = true;
        this->schedule(this->random_duration(100ms, 1s), [this] {
            this->table_down = false;
            begin_new_era(this->table);
        });
    }

    void kill_daemon(std::size_t index, duration down) {
        host& one = this->hosts[index];
        if (!one.up || one.lost) {
            return;
        }
        one.up = false;
        one.daemon.reset();
        this->schedule(down, [this, index] {
            if (!this->hosts[index].lost) {
                this->start_daemon(index);
            }
        });
    }

    void lose_host(std::size_t index) {
        host& one = this->hosts[index];
        one.lost = true;
        one.up = false;
        one.server.up = false;
        one.daemon.reset();
    }

    key_simulation_result run() {
        for (std::size_t i = 0; i < host_count; ++i) {
            host added;
            added.id = host_id{i + 1};
            added.rate =
                0.99 +
                0.02 * static_cast<double>(random_below(this->random, 100)) /
                    100;
            this->hosts.push_back(std::move(added));
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            this->start_daemon(i);
            this->start_server(i);
        }
        const instant end = start_time + this->options.length;
        if (this->options.faults) {
            for (instant at = start_time + 5s; at < end - 15s;
                 at += this->random_duration(500ms, 4s)) {
                this->events.emplace(at, [this] {
                    this->inject_fault();
                });
            }
        }
        for (std::uint32_t i = 0; i < this->options.lost_hosts; ++i) {
            this->events.emplace(start_time + 20s, [this, i] {
                this->lose_host(i);
            });
        }
        if (this->options.table_outage > duration{0}) {
            this->events.emplace(start_time + 30s, [this] {
                this->table_down = true;
            });
            this->events.emplace(
                start_time + 30s + this->options.table_outage,
                [this] {
                    this->table_down = false;
                }
            );
        }
        for (std::uint32_t i = 0; i < this->options.rewinds; ++i) {
            this->events.emplace(
                start_time + this->random_duration(8s, 40s),
                [this] {
                    this->rewind_table();
                }
            );
        }
        while (!this->events.empty() && !this->result.violation) {
            const auto first = this->events.begin();
            if (first->first > end) {
                break;
            }
            this->now = first->first;
            const std::function<void()> action = std::move(first->second);
            this->events.erase(first);
            action();
            this->check_invariants();
        }
        return this->result;
    }
};

} // namespace

key_simulation_result run_key_simulation(const key_simulation_options& options
) {
    simulation simulated{options};
    return simulated.run();
}

} // namespace apricotstile::tests
