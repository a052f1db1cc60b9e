// Framing of one TCP link: authenticated frames in sequence, without sockets.

#ifndef APRICOTSTILE_LINK_SESSION_HPP
#define APRICOTSTILE_LINK_SESSION_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::link {

/// The peer sent something that no honest peer sends; the link is closed.
struct link_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The first frame in each direction. The nonces of both sides go into every
/// later code, so a recorded frame is worthless on another link.
struct hello {
    host_id host;
    apricotstile::incarnation incarnation;
    std::string nonce;
};

template <class Archive>
void serialize(Archive& archive, hello& value) {
    archive(value.host, value.incarnation, value.nonce);
}

struct session {
    std::string key;
    hello mine;
    /// Empty host until the peer's hello has come.
    hello theirs;
    std::uint64_t next_sent{0};
    std::uint64_t next_received{0};
    /// Bytes of a frame that isn't complete; at most one frame's length.
    std::string partial;
};

/// A new session; `mine.nonce` must be fresh random bytes.
[[nodiscard]] session make_session(std::string key, hello mine);

/// Whether the peer's hello has come, so that frames may be sent.
[[nodiscard]] bool is_open(const session& value);

/// The bytes of this side's hello; sent first and once.
[[nodiscard]] std::string hello_bytes(const session& value);

/// The bytes of a frame that carries `payload`; the session must be open.
[[nodiscard]] std::string frame_bytes(session& value, std::string_view payload);

/// Takes received bytes and returns the payloads they complete. Throws
/// `link_error` for a wrong code, a wrong sequence or an oversized frame.
[[nodiscard]] std::vector<std::string>
receive(session& value, std::string_view bytes);

} // namespace apricotstile::link

#endif
