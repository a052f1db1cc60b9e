// Compilation of a plan book and lookup in it.

#include <apricotstile/plan/plan_book.hpp>

#include <algorithm>
#include <stdexcept>

namespace apricotstile::plan {

plan_book compile(plan_version version, const plan_lists& lists) {
    plan_book book;
    book.version = version;
    std::map<plan_id, std::uint32_t> indices;
    for (const auto& [plan, limits] : lists.plans.plans) {
        indices.emplace(plan, static_cast<std::uint32_t>(book.plans.size()));
        book.plans.push_back(limits);
    }
    book.customers.reserve(lists.customers.size());
    for (const auto& [customer, plan] : lists.customers) {
        const auto found = indices.find(plan);
        if (found == indices.end()) {
            throw std::invalid_argument{
                "customer " + customer.value + " has an unknown plan"};
        }
        book.customers.emplace(customer, found->second);
    }
    return book;
}

const plan_limits*
find_limits(const plan_book& book, const customer_id& customer) {
    const auto found = book.customers.find(customer);
    return found == book.customers.end() ? nullptr : &book.plans[found->second];
}

bool allows(const plan_limits& limits, const service_id& service) {
    return std::binary_search(
        limits.services.begin(), limits.services.end(), service
    );
}

} // namespace apricotstile::plan
