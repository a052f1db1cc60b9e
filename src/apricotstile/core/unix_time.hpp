// The time of day, for what must mean something to a later run of a daemon. It
// may be set back or forward at any time; see `boot_clock` for durations.

#ifndef APRICOTSTILE_CORE_UNIX_TIME_HPP
#define APRICOTSTILE_CORE_UNIX_TIME_HPP

#include <chrono>
#include <cstdint>

namespace apricotstile {

[[nodiscard]] inline std::int64_t unix_milliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch()
    )
        .count();
}

} // namespace apricotstile

#endif
