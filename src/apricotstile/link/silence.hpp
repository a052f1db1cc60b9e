// Decides when a link on which something is awaited has gone silent for good:
// the peer is pinged first, and the link is closed when no byte comes.

#ifndef APRICOTSTILE_LINK_SILENCE_HPP
#define APRICOTSTILE_LINK_SILENCE_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>

namespace apricotstile::link {

/// A ping is sent after this long without a byte.
constexpr duration silence_before_ping = std::chrono::milliseconds{300};
/// A link is closed after this long without a byte.
constexpr duration longest_silence = std::chrono::seconds{1};
/// Checks further apart than this show that this side stood still, so that
/// what the peer sent may be unread.
constexpr duration longest_check_gap = std::chrono::milliseconds{250};

enum class silence_action : std::uint8_t {
    none,
    /// Send a ping, which the peer answers at once while it works.
    ping,
    /// Close the link; the next request opens a new one.
    close
};

struct silence {
    instant quiet_since;
    instant last_check;
    /// A ping has been sent since `quiet_since`.
    bool pinged{false};
};

/// The watch of a link that is made at `now`.
[[nodiscard]] silence make_silence(instant now);

/// Bytes have come.
void bytes_heard(silence& state, instant now);

/// Must be called often while the link lives; `awaited` says whether the peer
/// owes an answer.
[[nodiscard]] silence_action check(silence& state, bool awaited, instant now);

} // namespace apricotstile::link

#endif
