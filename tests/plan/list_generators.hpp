// Random lists for property tests of plans.

#ifndef APRICOTSTILE_TESTS_PLAN_LIST_GENERATORS_HPP
#define APRICOTSTILE_TESTS_PLAN_LIST_GENERATORS_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/plan/plan_lists.hpp>

namespace apricotstile::tests {

/// Draws from few names, so that two lists overlap.
[[nodiscard]] inline plan::plan_lists random_lists(random_source& source) {
    plan::plan_lists lists;
    const std::uint64_t plans = 1 + random_below(source, 4);
    for (std::uint64_t at = 0; at < plans; ++at) {
        plan::plan_limits limits;
        limits.services = {service_id{"registry"}};
        limits.requests_per_second =
            static_cast<std::uint32_t>(1 + random_below(source, 3));
        lists.plans.plans[{"plan-" + std::to_string(at)}] = limits;
    }
    const std::uint64_t customers = random_below(source, 8);
    for (std::uint64_t at = 0; at < customers; ++at) {
        const std::uint64_t name = random_below(source, 10);
        const std::uint64_t plan = random_below(source, plans);
        lists.customers[{"customer-" + std::to_string(name)}] =
            plan_id{"plan-" + std::to_string(plan)};
    }
    if (random_below(source, 2) == 0) {
        lists.plans.capacities[{"registry"}] = {
            1 + random_below(source, 100), 10};
    }
    return lists;
}

} // namespace apricotstile::tests

#endif
