// Reads CLOCK_BOOTTIME.

#include <apricotstile/core/time.hpp>

#include <ctime>

namespace apricotstile {

boot_clock::time_point boot_clock::now() noexcept {
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point{
        std::chrono::seconds{spec.tv_sec} +
        std::chrono::nanoseconds{spec.tv_nsec}};
}

} // namespace apricotstile
