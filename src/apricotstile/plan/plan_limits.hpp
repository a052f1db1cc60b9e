// The limits of one plan. Every limit is global: it applies to all daemons
// together.

#ifndef APRICOTSTILE_PLAN_PLAN_LIMITS_HPP
#define APRICOTSTILE_PLAN_PLAN_LIMITS_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <cstdint>
#include <vector>

namespace apricotstile::plan {

constexpr std::uint32_t max_requests_per_second = 1'000'000;
constexpr std::uint32_t max_burst = 1'000'000;
constexpr std::uint32_t max_requests_at_once = 100'000;
constexpr std::uint64_t max_cross_region_bytes_per_second = 500'000'000;
constexpr std::uint64_t default_cross_region_bytes_per_second = 1'000'000;

struct plan_limits {
    /// Sorted, without duplicates, not empty.
    std::vector<service_id> services;
    std::uint32_t requests_per_second{1};
    /// Requests that may be admitted at once after an idle period.
    std::uint32_t burst{1};
    std::uint32_t requests_at_once{1};
    request::work_class priority{request::work_class::normal};
    std::uint64_t cross_region_bytes_per_second{
        default_cross_region_bytes_per_second};

    friend bool operator==(const plan_limits&, const plan_limits&) = default;
};

template <class Archive>
void serialize(Archive& archive, plan_limits& value) {
    archive(value.services, value.requests_per_second, value.burst);
    archive(value.requests_at_once, value.priority);
    archive(value.cross_region_bytes_per_second);
}

} // namespace apricotstile::plan

#endif
