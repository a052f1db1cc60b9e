// Everything of a daemon that concerns the two lists, as one pure state: the
// version in force, operators' applies, and the lending of customers' limits.

#ifndef APRICOTSTILE_CONTROL_PLAN_DESK_HPP
#define APRICOTSTILE_CONTROL_PLAN_DESK_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/control/plan_desk_events.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/plan/apply.hpp>
#include <apricotstile/plan/follower.hpp>
#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/share/lender.hpp>

#include <map>
#include <memory>
#include <optional>

namespace apricotstile::control {

/// The service in the assignment map whose keys are the customers: who owns a
/// customer lends its limit.
inline const service_id customers_service{"apricotstile.customers"};
constexpr std::uint32_t customers_slices = 256;

/// Since when this daemon owns a slice of customers under a token.
struct customer_slice {
    fencing_token token;
    instant since;
};

/// Which of the desk's parts asked for a call to the platform.
struct desk_operation {
    /// Zero for the follower, else the apply.
    std::uint64_t apply{0};
    platform::operation_id id;
};

struct plan_desk {
    member::member_ref self;
    plan::follower_state follower;
    share::lender_state lender;
    /// In force; null while there is none.
    std::shared_ptr<const plan::plan_book> book;
    /// Applies that aren't settled yet, by the operator's order.
    std::map<std::uint64_t, plan::apply_state> applies;
    std::map<slice_id, customer_slice> owned;
    instant lease_until;
    map_version map_seen;
    std::map<platform::operation_id, desk_operation> operations;
    platform::operation_id last_operation{first_desk_operation};
    instant tick_at;
    bool started{false};
};

[[nodiscard]] plan_desk make_plan_desk(host_id self);

/// Takes over who this daemon is and what it owns. Call it before `step`
/// whenever one of them may have changed.
void take_ownership(
    plan_desk& desk,
    const member::member_ref& self,
    const assignment::assignment_map& map,
    instant lease_until,
    instant now
);

/// Decides on one event. Actions are to be performed in order.
[[nodiscard]] desk_actions step(
    plan_desk& desk, const desk_event& what, instant now, random_source& random
);

/// Whether the call `id` was asked for by a desk.
[[nodiscard]] bool is_desk_operation(platform::operation_id id);

} // namespace apricotstile::control

#endif
