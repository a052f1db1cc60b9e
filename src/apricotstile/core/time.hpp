// Time as decisions see it: instants and durations on the boot-time clock.
// Decisions take `instant now` as an argument and never read a clock.

#ifndef APRICOTSTILE_CORE_TIME_HPP
#define APRICOTSTILE_CORE_TIME_HPP

#include <chrono>

namespace apricotstile {

/// Tag of the boot-time clock, which goes on while the machine is suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// The present instant. Only the shell calls this.
    static time_point now() noexcept;
};

using duration = boot_clock::duration;

/// `value` times `factor`, towards zero to whole nanoseconds.
[[nodiscard]] inline duration scaled(duration value, double factor) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(value) * factor
    );
}

/// A point in time on one host's boot-time clock. Instants of two hosts can't
/// be compared; only durations travel between hosts.
using instant = boot_clock::time_point;

} // namespace apricotstile

#endif
