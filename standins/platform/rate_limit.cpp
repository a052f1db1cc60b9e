// Refills and drains the bucket.

#include <standins/platform/rate_limit.hpp>

#include <algorithm>

namespace apricotstile::standins {

rate_limit make_rate_limit(double per_second, instant now) {
    return {per_second, per_second, now};
}

bool admit(rate_limit& limit, instant now) {
    if (limit.per_second <= 0) {
        return true;
    }
    const std::chrono::duration<double> passed = now - limit.refilled_at;
    limit.refilled_at = now;
    limit.available = std::min(
        limit.per_second, limit.available + passed.count() * limit.per_second
    );
    if (limit.available < 1) {
        return false;
    }
    limit.available -= 1;
    return true;
}

} // namespace apricotstile::standins
