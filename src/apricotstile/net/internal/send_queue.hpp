// Bytes that a socket's kernel buffer hasn't accepted yet. Copied bytes are
// kept in pieces, so that their memory is returned while they are sent; shared
// bytes aren't copied.

#ifndef APRICOTSTILE_NET_INTERNAL_SEND_QUEUE_HPP
#define APRICOTSTILE_NET_INTERNAL_SEND_QUEUE_HPP

#include <apricotstile/core/shared_bytes.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::net::internal {

struct send_queue {
    struct piece {
        /// Either `own` or `shared` has the bytes.
        std::string own;
        shared_bytes shared;
        std::size_t sent{0};
    };

    std::deque<piece> pieces;
    /// Unsent bytes of all pieces.
    std::size_t unsent_bytes{0};
    /// Memory of all `own` bytes.
    std::size_t copied_bytes{0};
};

/// Appends a copy of `bytes`.
void push_copy(send_queue& queue, std::string_view bytes);

/// Appends `bytes`, of which the first `sent` have been sent.
void push_shared(
    send_queue& queue, const shared_bytes& bytes, std::size_t sent
);

/// The first unsent bytes, in order, at most `max_views` pieces of them.
[[nodiscard]] std::vector<std::string_view>
next_unsent(const send_queue& queue, std::size_t max_views);

/// Removes the first `bytes`, which have been sent.
void note_sent(send_queue& queue, std::size_t bytes);

} // namespace apricotstile::net::internal

#endif
