// The capacity of all upstreams of a service together, as stated by operators.

#ifndef APRICOTSTILE_PLAN_UPSTREAM_CAPACITY_HPP
#define APRICOTSTILE_PLAN_UPSTREAM_CAPACITY_HPP

#include <apricotstile/core/codec.hpp>

#include <cstdint>

namespace apricotstile::plan {

constexpr std::uint64_t max_capacity = 1'000'000'000;

/// Used only by `check`, to warn of plans that together allow more.
struct upstream_capacity {
    std::uint64_t requests_per_second{0};
    std::uint64_t requests_at_once{0};

    friend bool
    operator==(const upstream_capacity&, const upstream_capacity&) = default;
};

template <class Archive>
void serialize(Archive& archive, upstream_capacity& value) {
    archive(value.requests_per_second, value.requests_at_once);
}

} // namespace apricotstile::plan

#endif
