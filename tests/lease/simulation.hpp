// Discrete-event simulation of the daemons of a few hosts on a virtual clock,
// with a fake network and the fake table, for tests of leases under faults.

#ifndef APRICOTSTILE_TESTS_LEASE_SIMULATION_HPP
#define APRICOTSTILE_TESTS_LEASE_SIMULATION_HPP

#include <apricotstile/lease/participant.hpp>
#include <tests/support/fake_table.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace apricotstile::tests {

/// True time since the start; each process has its own, drifting clock.
using true_time = duration;

/// Protocol faults that the checked properties must detect.
struct seeded_faults {
    bool no_drift_margin{false};
    /// A restarted guardian keeps its incarnation but forgets its promises and
    /// consents.
    bool guardian_forgets{false};
    bool deposition_unconditional{false};
    bool promise_after_consent{false};
};

struct environment_conditions {
    duration min_delay = std::chrono::microseconds{500};
    duration max_delay = std::chrono::milliseconds{10};
    duration store_latency = std::chrono::milliseconds{5};
    duration tick = std::chrono::milliseconds{15};
    unsigned loss_percent{0};
    unsigned duplicate_percent{0};
    /// Messages that arrive with a delay of up to three seconds.
    unsigned late_percent{0};
    unsigned lost_answer_percent{0};
    /// Steps per thousand that are followed by a pause before their actions.
    unsigned pause_per_mille{0};
};

/// One process of a daemon.
struct process {
    host_id host;
    lease::participant self;
    random_source random;
    /// Drift of the clock in parts per million; negative if it runs slow.
    std::int64_t drift_ppm{0};
    true_time paused_until{};
    bool dead{false};
    /// Whether messages to the host are delivered to this process; false once
    /// a later process has taken the address over.
    bool has_address{true};
};

struct simulation {
    struct scheduled_event {
        true_time at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const scheduled_event& other) const {
            return std::tie(other.at, other.order) <
                   std::tie(this->at, this->order);
        }
    };

    true_time now{};
    environment_conditions environment;
    seeded_faults faults;
    lease::policy limits;
    random_source random;
    fake_table table;
    std::vector<process> processes;
    /// A heap with the next event at its front.
    std::vector<scheduled_event> events;
    std::uint64_t scheduled_count{0};
    /// Ordered pairs of hosts whose messages are dropped; host zero is the
    /// store.
    std::set<std::pair<host_id, host_id>> cut;
    host_id planner;

    std::map<host_id, member::member_record> records;
    std::map<member::member_ref, true_time> deposed;
    std::set<member::member_ref> joined;
    /// The first property that was violated; empty if none was.
    std::string violation;

    std::uint64_t messages{0};
    std::uint64_t message_bytes{0};
    bool counts_bytes{false};
};

/// Adds `count` hosts, distributed over `regions` regions with two failure
/// domains each. No process runs until `start`.
void make_hosts(
    simulation& sim, std::uint64_t seed, std::size_t count, std::size_t regions
);

/// Starts the daemon of the host numbered `index`, counted from one. Returns
/// the index of its process.
std::size_t start(simulation& sim, std::size_t index);
[[nodiscard]] host_id host_of(std::size_t index);
[[nodiscard]] location location_of(std::size_t index, std::size_t regions);

/// The live process that has the host's address, or null.
[[nodiscard]] process* current_process(simulation& sim, host_id host);

void schedule_event(simulation& sim, true_time at, std::function<void()> run);
void run_until(simulation& sim, true_time end);
void send_event(simulation& sim, std::size_t index, const lease::event& event);

[[nodiscard]] instant local_time(const process& one, true_time when);
[[nodiscard]] bool has_lease(const process& one, true_time when);

void pause_process(simulation& sim, host_id host, duration length);
/// Ends the current process on `host`; its state is lost.
void kill_process(simulation& sim, host_id host);
/// Starts another process on `host`, which takes the address over. If `frozen`
/// isn't zero the former process resumes after that time, without the address;
/// else it ends.
void replace_process(simulation& sim, host_id host, duration frozen);
void set_planner(simulation& sim, host_id planner);

} // namespace apricotstile::tests

#endif
