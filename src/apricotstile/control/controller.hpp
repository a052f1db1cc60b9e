// All control decisions of one daemon as one pure state: membership and lease,
// gossip of members, the assignment map, the owner's side of moves and the
// planner's role. Passes events to the part they concern and the parts'
// findings to each other.

#ifndef APRICOTSTILE_CONTROL_CONTROLLER_HPP
#define APRICOTSTILE_CONTROL_CONTROLLER_HPP

#include <apricotstile/assignment/map_follower.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/assignment/planner.hpp>
#include <apricotstile/control/action.hpp>
#include <apricotstile/control/event.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/gossip.hpp>

#include <map>
#include <vector>

namespace apricotstile::control {

/// The part that asked for a call to the platform.
enum class part : std::uint8_t { participant, follower, owner, planner };

struct asked_operation {
    control::part by{part::participant};
    /// The operation as that part numbered it.
    platform::operation_id id;
};

struct controller_settings {
    /// Host, location, addresses; services follow from announcements.
    member::member_record desired;
    std::vector<host_id> seeds;
    assignment::planner_weights weights;
    lease::policy limits;
};

struct controller {
    lease::participant participant;
    member::gossip gossip;
    assignment::map_follower follower;
    assignment::owner_state owner;
    assignment::planner planner;
    /// Calls in flight, by the number that the shell knows them by.
    std::map<platform::operation_id, asked_operation> operations;
    platform::operation_id last_operation;
    /// The rows in `participant.members` that the other parts know.
    member::member_set_hash members_told;
    instant assignment_tick_at;
    bool draining{false};
    /// Set once `left` has been asked for.
    bool has_left{false};
};

[[nodiscard]] controller make_controller(const controller_settings& settings);

/// Decides on one event. Every action is to be performed in order.
[[nodiscard]] actions
step(controller& self, const event& what, instant now, random_source& random);

/// The member that this daemon is; incarnation zero while it is none.
[[nodiscard]] member::member_ref self_ref(const controller& self);

/// Until when this daemon may act as an owner.
[[nodiscard]] instant lease_valid_until(const controller& self);

/// The records of all members known.
[[nodiscard]] std::vector<member::member_record>
member_records(const controller& self);

} // namespace apricotstile::control

#endif
