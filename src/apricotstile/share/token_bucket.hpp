// A token bucket in integer arithmetic, so that rounding never adds tokens.

#ifndef APRICOTSTILE_SHARE_TOKEN_BUCKET_HPP
#define APRICOTSTILE_SHARE_TOKEN_BUCKET_HPP

#include <apricotstile/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace apricotstile::share {

/// Level of one unit: rates are in units per second and levels in
/// units * nanoseconds, so that one unit is 10^9.
constexpr std::uint64_t level_of_one_unit = 1'000'000'000;

/// Request buckets use thousandths of a request as the unit.
constexpr std::uint64_t units_per_request = 1'000;
constexpr std::uint64_t level_of_one_request =
    units_per_request * level_of_one_unit;

struct token_bucket {
    /// In units per second; at most 10^9.
    std::uint64_t rate{0};
    /// Upper limit of `level`; at most 10^18.
    std::uint64_t capacity{0};
    std::uint64_t level{0};
    instant updated;
};

/// Adds the tokens accrued by `now`. A `now` before the last update adds none.
inline void refill(token_bucket& bucket, instant now) {
    if (now <= bucket.updated) {
        return;
    }
    // Limited so that the product fits into 64 bits.
    const duration elapsed =
        std::min<duration>(now - bucket.updated, std::chrono::seconds{10});
    bucket.level += bucket.rate * static_cast<std::uint64_t>(elapsed.count());
    bucket.level = std::min(bucket.level, bucket.capacity);
    bucket.updated = now;
}

/// Removes `level` and returns true if the bucket holds that much.
[[nodiscard]] inline bool take(token_bucket& bucket, std::uint64_t level) {
    if (bucket.level < level) {
        return false;
    }
    bucket.level -= level;
    return true;
}

/// Sets the rate and the capacity, and drops tokens above the capacity.
inline void
reshape(token_bucket& bucket, std::uint64_t rate, std::uint64_t capacity) {
    bucket.rate = rate;
    bucket.capacity = capacity;
    bucket.level = std::min(bucket.level, capacity);
}

} // namespace apricotstile::share

#endif
