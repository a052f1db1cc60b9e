// Instants as whole microseconds, for records and logs.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_JSON_TIME_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_JSON_TIME_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::standins {

[[nodiscard]] inline std::int64_t to_microseconds(instant at) {
    using std::chrono::microseconds;
    return std::chrono::duration_cast<microseconds>(at.time_since_epoch())
        .count();
}

[[nodiscard]] inline instant from_microseconds(std::int64_t count) {
    return instant{std::chrono::microseconds{count}};
}

} // namespace apricotstile::standins

#endif
