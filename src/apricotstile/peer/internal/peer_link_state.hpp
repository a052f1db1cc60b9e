// One direction of the link to a peer: the connection, what was received on it
// and what waits for an answer.

#ifndef APRICOTSTILE_PEER_INTERNAL_PEER_LINK_STATE_HPP
#define APRICOTSTILE_PEER_INTERNAL_PEER_LINK_STATE_HPP

#include <apricotstile/net/stream.hpp>
#include <apricotstile/peer/peer_links.hpp>
#include <apricotstile/serving/memory_reservation.hpp>

#include <deque>
#include <optional>
#include <set>

namespace apricotstile::peer {

namespace internal {

inline constexpr duration initial_reopen_backoff =
    std::chrono::milliseconds{200};

} // namespace internal

/// A request whose body isn't sent completely.
struct peer_links::outgoing_body {
    request_head head;
    shared_bytes body;
    bool head_sent{false};
    std::size_t sent_bytes{0};
};

/// A request whose body hasn't arrived completely.
struct peer_links::incoming_body {
    explicit incoming_body(serving::memory_budget& memory) : memory(memory) {}

    request_head head;
    std::string bytes;
    /// When the head arrived.
    instant began;
    /// For the whole body.
    serving::memory_reservation memory;
};

struct peer_links::outgoing_link {
    explicit outgoing_link(serving::memory_budget& memory) : memory(memory) {}

    host_id peer;
    /// Null while the link is closed.
    net::stream* stream{nullptr};
    bool open{false};
    /// Whether the peer's entry has arrived since the link was opened.
    bool is_ready{false};
    std::string received;
    header_table sent_headers;
    header_table received_headers;
    stream_id last_stream;
    std::unordered_map<stream_id, response_handler> waiting;
    /// The first bytes of the bodies of responses in `waiting`.
    std::unordered_map<stream_id, std::string> response_parts;
    /// Sum of their sizes.
    std::size_t response_part_bytes{0};
    /// In the order in which they send their next parts.
    std::deque<outgoing_body> bodies;
    /// Whether the peer understands requests in parts.
    bool accepts_parts{false};
    bool sending_scheduled{false};
    /// For what has arrived in part, and for copies of what is unsent.
    serving::memory_reservation memory;
    /// The link isn't opened again before this time.
    instant reopen_at;
    duration reopen_backoff{internal::initial_reopen_backoff};
    instant last_received_at;
    /// When the ping was sent that is unanswered.
    std::optional<instant> pinged_at;
    bool is_unresponsive{false};
};

struct peer_links::incoming_link {
    explicit incoming_link(serving::memory_budget& memory) : memory(memory) {}

    peer_connection_id connection;
    net::stream* stream{nullptr};
    std::string received;
    header_table sent_headers;
    header_table received_headers;
    /// Whether the peer's entry has arrived; its requests are refused before.
    bool is_known{false};
    host_id peer;
    service_id caller_service;
    std::set<stream_id> unanswered;
    std::unordered_map<stream_id, incoming_body> bodies;
    /// For the frame that has arrived in part, and for copies of what is
    /// unsent.
    serving::memory_reservation memory;

    void update_reservation() {
        this->memory.set(
            this->received.capacity() + this->stream->copied_bytes()
        );
    }
};

} // namespace apricotstile::peer

#endif
