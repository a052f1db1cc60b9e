// A token bucket in whole numbers, so that no rounding ever adds a token.

#ifndef APRICOTSTILE_SHARE_TOKEN_BUCKET_HPP
#define APRICOTSTILE_SHARE_TOKEN_BUCKET_HPP

#include <apricotstile/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace apricotstile::share {

/// One unit of a bucket's rate, as a level: levels are unit-nanoseconds.
constexpr std::uint64_t level_of_one_unit = 1'000'000'000;

/// Request buckets count in thousandths of a request.
constexpr std::uint64_t units_per_request = 1'000;
constexpr std::uint64_t level_of_one_request =
    units_per_request * level_of_one_unit;

struct token_bucket {
    /// Units a second; at most a billion.
    std::uint64_t rate{0};
    /// `level` never exceeds it; at most 10^18.
    std::uint64_t capacity{0};
    std::uint64_t level{0};
    instant updated;
};

/// Adds what has accrued by `now`; a `now` of the past adds nothing.
inline void refill(token_bucket& bucket, instant now) {
    if (now <= bucket.updated) {
        return;
    }
    // Bounded so that the product fits 64 bits.
    const duration elapsed =
        std::min<duration>(now - bucket.updated, std::chrono::seconds{10});
    bucket.level += bucket.rate * static_cast<std::uint64_t>(elapsed.count());
    bucket.level = std::min(bucket.level, bucket.capacity);
    bucket.updated = now;
}

/// Takes `level` when it is there.
[[nodiscard]] inline bool take(token_bucket& bucket, std::uint64_t level) {
    if (bucket.level < level) {
        return false;
    }
    bucket.level -= level;
    return true;
}

/// Changes what accrues from now on and drops what no longer fits.
inline void
reshape(token_bucket& bucket, std::uint64_t rate, std::uint64_t capacity) {
    bucket.rate = rate;
    bucket.capacity = capacity;
    bucket.level = std::min(bucket.level, capacity);
}

} // namespace apricotstile::share

#endif
