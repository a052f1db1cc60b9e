// Differences between two versions of the lists.

#ifndef APRICOTSTILE_PLAN_DIFFERENCE_HPP
#define APRICOTSTILE_PLAN_DIFFERENCE_HPP

#include <apricotstile/plan/plan_lists.hpp>

#include <optional>

namespace apricotstile::plan {

/// Each entry holds the new value, or `nullopt` if the key is removed.
struct plan_difference {
    std::map<customer_id, std::optional<plan_id>> customers;
    std::map<plan_id, std::optional<plan_limits>> plans;
    std::map<service_id, std::optional<upstream_capacity>> capacities;

    friend bool
    operator==(const plan_difference&, const plan_difference&) = default;
};

/// `patch(from, difference_between(from, to))` equals `to`.
[[nodiscard]] plan_difference
difference_between(const plan_lists& from, const plan_lists& to);

[[nodiscard]] plan_lists
patch(plan_lists lists, const plan_difference& difference);

/// One difference with the same effect as `first` followed by `second`.
[[nodiscard]] plan_difference
compose(plan_difference first, const plan_difference& second);

[[nodiscard]] bool is_empty(const plan_difference& difference);

/// The number of entries.
[[nodiscard]] std::size_t change_count(const plan_difference& difference);

template <class Archive>
void serialize(Archive& archive, plan_difference& value) {
    archive(value.customers, value.plans, value.capacities);
}

} // namespace apricotstile::plan

#endif
