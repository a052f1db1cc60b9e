// One version of the two lists, compiled for lookup on the request path.

#ifndef APRICOTSTILE_PLAN_PLAN_BOOK_HPP
#define APRICOTSTILE_PLAN_PLAN_BOOK_HPP

#include <apricotstile/plan/plan_lists.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace apricotstile::plan {

/// Immutable after compilation; requests in flight may still use the book of
/// an older version.
struct plan_book {
    plan_version version;
    std::vector<plan_limits> plans;
    /// Values are valid indices into `plans`.
    std::unordered_map<customer_id, std::uint32_t> customers;
};

/// Throws `std::invalid_argument` when a customer's plan is missing.
[[nodiscard]] plan_book compile(plan_version version, const plan_lists& lists);

/// The customer's limits, or null for a customer that isn't listed.
[[nodiscard]] const plan_limits*
find_limits(const plan_book& book, const customer_id& customer);

[[nodiscard]] bool allows(const plan_limits& limits, const service_id& service);

} // namespace apricotstile::plan

#endif
