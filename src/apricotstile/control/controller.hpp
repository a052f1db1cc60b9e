// State machine without I/O for all control decisions of one daemon: membership
// and lease, gossip of members, the assignment map, the owner's side of moves
// and the planner's role. Routes each event to the component that handles it,
// and the components' results to each other.

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

/// A component that requests platform calls.
enum class component : std::uint8_t { participant, follower, owner, planner };

/// A platform call in flight and the component that requested it.
struct pending_operation {
    control::component requested_by{component::participant};
    /// The id that the component gave to the call.
    platform::operation_id id;
};

struct controller_settings {
    /// Host, location and addresses; the services are taken from the
    /// upstreams' announcements.
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
    /// Platform calls in flight, by the id that the platform knows them by.
    std::map<platform::operation_id, pending_operation> operations;
    platform::operation_id last_operation;
    /// Hash of `participant.members` as last passed to the other components.
    member::member_set_hash notified_members;
    instant next_assignment_tick;
    bool draining{false};
    /// Set once the action `left` has been returned.
    bool has_left{false};
};

[[nodiscard]] controller make_controller(const controller_settings& settings);

/// Handles one event. The caller performs the returned actions in order.
[[nodiscard]] actions
step(controller& self, const event& what, instant now, random_source& random);

/// This daemon's member reference; incarnation zero while it isn't a member.
[[nodiscard]] member::member_ref self_ref(const controller& self);

/// The time until which this daemon may act as an owner; zero when it may not.
[[nodiscard]] instant lease_valid_until(const controller& self);

/// The records of all known members.
[[nodiscard]] std::vector<member::member_record>
member_records(const controller& self);

} // namespace apricotstile::control

#endif
