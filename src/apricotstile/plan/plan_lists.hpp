// The two lists that operators edit: the plan of each customer, and the limits
// of each plan.

#ifndef APRICOTSTILE_PLAN_PLAN_LISTS_HPP
#define APRICOTSTILE_PLAN_PLAN_LISTS_HPP

#include <apricotstile/plan/plan_limits.hpp>
#include <apricotstile/plan/upstream_capacity.hpp>

#include <map>

namespace apricotstile::plan {

using customer_list = std::map<customer_id, plan_id>;

struct plan_list {
    std::map<plan_id, plan_limits> plans;
    std::map<service_id, upstream_capacity> capacities;

    friend bool operator==(const plan_list&, const plan_list&) = default;
};

/// Both lists of one version.
struct plan_lists {
    /// Each customer's plan is in `plans`.
    customer_list customers;
    plan_list plans;

    friend bool operator==(const plan_lists&, const plan_lists&) = default;
};

template <class Archive>
void serialize(Archive& archive, plan_list& value) {
    archive(value.plans, value.capacities);
}

template <class Archive>
void serialize(Archive& archive, plan_lists& value) {
    archive(value.customers, value.plans);
}

} // namespace apricotstile::plan

#endif
