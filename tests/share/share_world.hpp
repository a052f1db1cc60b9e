// Daemons that lend and use shares of one customer's plan, over a network
// that loses, delays, repeats and reorders, with pauses, crashes, moves of the
// customer and changes of its plan. Everything admitted is held against the
// plan as it stands.

#ifndef APRICOTSTILE_TESTS_SHARE_SHARE_WORLD_HPP
#define APRICOTSTILE_TESTS_SHARE_SHARE_WORLD_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/share/ingress.hpp>
#include <apricotstile/share/lender.hpp>

#include <string>
#include <vector>

namespace apricotstile::tests {

constexpr std::size_t share_host_count = 5;

struct running_work {
    /// When it is settled at its host, and its deadline; in true time.
    instant settled;
    instant deadline;
    bool settled_at_host{false};
};

struct share_host {
    share::ingress_state ingress;
    share::lender_state lender;
    plan::plan_book book;
    std::vector<running_work> work;
    /// Runs ahead of or behind true time.
    double clock_speed{1};
    duration clock_offset{0};
    instant paused_until;
    std::uint64_t incarnation{1};
    /// Requests a second.
    double demand{0};
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
};

struct share_mail {
    instant due;
    std::size_t from;
    std::size_t to;
    share::share_message message;
};

struct share_world {
    random_source source;
    instant now{};
    share::share_policy policy;
    std::vector<share_host> hosts;
    std::vector<share_mail> network;
    std::uint64_t loss_percent{0};
    duration longest_delay{std::chrono::milliseconds{30}};
    /// The customer's owner, by the assignment.
    std::size_t owner{0};
    fencing_token epoch{1};
    instant owner_since;
    /// Where callers think that the customer is.
    plan::plan_limits limits;
    plan_version version{1};
    /// The bound in true time that admissions are held against.
    share::token_bucket bound;
    std::uint32_t bound_at_once{0};
    /// The bound may fall to the present limits from here on.
    instant bound_falls;
    std::string broken;
};

[[nodiscard]] share_world
make_share_world(std::uint64_t seed, const share::share_policy& policy);

/// Runs for a time in steps of 10 ms.
void run_for(share_world& world, duration time);

/// One random disturbance.
void disturb(share_world& world);

/// No more losses, pauses or delays.
void heal(share_world& world);

/// The customer's slice goes to `to` by a drain and handover.
void move_planned(share_world& world, std::size_t to);

void set_limits(share_world& world, const plan::plan_limits& limits);

/// Random demands and disturbances from `seed`.
[[nodiscard]] share_world
disturbed_shares(std::uint64_t seed, const share::share_policy& policy);

} // namespace apricotstile::tests

#endif
