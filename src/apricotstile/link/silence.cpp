// Pings and closing of silent links.

#include <apricotstile/link/silence.hpp>

namespace apricotstile::link {

silence make_silence(instant now) {
    return {now, now, false};
}

void bytes_heard(silence& state, instant now) {
    state.quiet_since = now;
    state.pinged = false;
}

silence_action check(silence& state, bool awaited, instant now) {
    const bool stood_still = now - state.last_check > longest_check_gap;
    state.last_check = now;
    if (!awaited || stood_still) {
        bytes_heard(state, now);
        return silence_action::none;
    }
    const duration quiet = now - state.quiet_since;
    if (state.pinged && quiet >= longest_silence) {
        return silence_action::close;
    }
    if (!state.pinged && quiet >= silence_before_ping) {
        state.pinged = true;
        return silence_action::ping;
    }
    return silence_action::none;
}

} // namespace apricotstile::link
