// Notices that this process stood still, so that requests which waited in its
// sockets aren't taken for fresh ones: their callers may have given up and
// sent them elsewhere.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_PAUSE_GUARD_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_PAUSE_GUARD_HPP

#include <apricotstile/core/time.hpp>

namespace apricotstile::daemon::internal {

/// The thread stood still when it notices time further apart than this.
constexpr duration longest_tick_gap = std::chrono::milliseconds{500};
/// Non-idempotent requests are refused for this long after a pause.
constexpr duration refusal_after_pause = std::chrono::seconds{1};

struct pause_guard {
    /// The epoch before the first call of `notice_time`.
    instant last_noticed;
    instant refuse_until;
};

/// To be called by a timer of the duty that reads the requests, much more
/// often than `longest_tick_gap`.
inline void notice_time(pause_guard& state, instant now) {
    const bool first = state.last_noticed == instant{};
    if (!first && now - state.last_noticed > longest_tick_gap) {
        state.refuse_until = now + refusal_after_pause;
    }
    state.last_noticed = now;
}

/// Whether a request read at `now` is to be refused as not run. Notices the
/// time by itself, since sockets may be read before the timer runs.
[[nodiscard]] inline bool
refuses(pause_guard& state, bool idempotent, instant now) {
    notice_time(state, now);
    return !idempotent && now < state.refuse_until;
}

} // namespace apricotstile::daemon::internal

#endif
