// Simulation of daemons that lend and use shares of one customer's plan. The
// network loses, delays, duplicates and reorders messages; hosts pause and
// crash, ownership of the customer moves, and its plan changes. Every admitted
// request is checked against the current plan.

#ifndef APRICOTSTILE_TESTS_SHARE_SHARE_SIMULATION_HPP
#define APRICOTSTILE_TESTS_SHARE_SHARE_SIMULATION_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/share/ingress.hpp>
#include <apricotstile/share/lender.hpp>

#include <string>
#include <vector>

namespace apricotstile::tests {

constexpr std::size_t share_host_count = 5;

struct running_request {
    /// When the request ends, and its deadline; in simulated time.
    instant ends_at;
    instant deadline;
    bool end_reported{false};
};

struct share_host {
    share::ingress_state ingress;
    share::lender_state lender;
    plan::plan_book book;
    std::vector<running_request> work;
    /// Speed of the host's clock relative to simulated time.
    double clock_speed{1};
    duration clock_offset{0};
    instant paused_until;
    std::uint64_t incarnation{1};
    /// In requests per second.
    double demand{0};
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
};

struct message_in_transit {
    instant due;
    std::size_t from;
    std::size_t to;
    share::share_message message;
};

struct share_simulation {
    random_source source;
    instant now{};
    share::share_policy policy;
    std::vector<share_host> hosts;
    std::vector<message_in_transit> network;
    std::uint64_t loss_percent{0};
    duration longest_delay{std::chrono::milliseconds{30}};
    /// Index of the host that owns the customer.
    std::size_t owner{0};
    fencing_token epoch{1};
    instant owner_since;
    plan::plan_limits limits;
    plan_version version{1};
    /// Upper bound, in simulated time, that admissions are checked against.
    share::token_bucket bound;
    std::uint32_t bound_concurrency{0};
    /// From then on the bound is that of the current limits alone.
    instant bound_lowered_at;
    std::string violation;
};

[[nodiscard]] share_simulation
make_share_simulation(std::uint64_t seed, const share::share_policy& policy);

/// Advances simulated time in steps of 10 ms.
void run_for(share_simulation& sim, duration time);

/// Injects one random fault, move or change of demand or limits.
void inject_random_fault(share_simulation& sim);

/// Ends losses, pauses and long delays.
void end_faults(share_simulation& sim);

/// Moves the customer's slice to host `to` by a handover.
void move_by_handover(share_simulation& sim, std::size_t to);

void set_limits(share_simulation& sim, const plan::plan_limits& limits);

/// Runs a simulation with random faults derived from `seed`.
[[nodiscard]] share_simulation
simulate_random_faults(std::uint64_t seed, const share::share_policy& policy);

} // namespace apricotstile::tests

#endif
