// State machine without I/O for the customer list and the plan list in one
// daemon: the version in force, operators' applies, and the lending of
// customers' limits to other daemons.

#ifndef APRICOTSTILE_CONTROL_PLAN_CONTROLLER_HPP
#define APRICOTSTILE_CONTROL_PLAN_CONTROLLER_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/control/plan_controller_events.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/plan/apply.hpp>
#include <apricotstile/plan/follower.hpp>
#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/share/lender.hpp>

#include <map>
#include <memory>
#include <optional>

namespace apricotstile::control {

/// The service in the assignment map whose keys are the customers. The owner
/// of a customer lends shares of the customer's limits to the ingresses.
inline const service_id customers_service{"apricotstile.customers"};
constexpr std::uint32_t customers_slices = 256;

/// A slice of customers that this daemon owns.
struct customer_slice {
    fencing_token token;
    /// When this daemon became the owner under `token`.
    instant since;
};

/// A platform call in flight and the component that requested it.
struct pending_plan_operation {
    /// Number of the apply that requested the call; zero for the follower.
    std::uint64_t apply_number{0};
    /// The id that the component gave to the call.
    platform::operation_id id;
};

struct plan_controller {
    member::member_ref self;
    plan::follower_state follower;
    share::lender_state lender;
    /// Of the version in force; null while there is none.
    std::shared_ptr<const plan::plan_book> book;
    /// Unfinished applies, by `apply_ordered::order`.
    std::map<std::uint64_t, plan::apply_state> applies;
    std::map<slice_id, customer_slice> owned;
    instant lease_until;
    map_version seen_map_version;
    std::map<platform::operation_id, pending_plan_operation> operations;
    /// The last id given to a platform call.
    platform::operation_id last_operation{first_plan_operation};
    instant next_tick;
    bool started{false};
};

[[nodiscard]] plan_controller make_plan_controller(host_id self);

/// Updates this daemon's member reference, the customer slices that it owns
/// and its lease. Call it before `step` whenever one of them may have changed.
void take_ownership(
    plan_controller& state,
    const member::member_ref& self,
    const assignment::assignment_map& map,
    instant lease_until,
    instant now
);

/// Handles one event. The caller performs the returned actions in order.
[[nodiscard]] plan_actions step(
    plan_controller& state,
    const plan_event& what,
    instant now,
    random_source& random
);

/// Whether the platform call `id` was requested by a plan controller.
[[nodiscard]] bool is_plan_operation(platform::operation_id id);

} // namespace apricotstile::control

#endif
