// A caller's connection: reads one request after the other and writes their
// answers.

#ifndef APRICOTSTILE_EDGE_CALLER_CONNECTION_HPP
#define APRICOTSTILE_EDGE_CALLER_CONNECTION_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/serving/caller_eviction.hpp>
#include <apricotstile/serving/memory_reservation.hpp>

#include <cstdint>
#include <functional>

namespace apricotstile::net {
class stream;
}

namespace apricotstile::edge {

using serving::caller_id;

struct caller_events {
    std::function<void(caller_id, http::received_request&&)> on_request;
    /// A request is refused while it arrives, as it doesn't fit into the memory
    /// budget beside the others. The handler must call `respond_unread`.
    std::function<void(caller_id)> on_memory_refused;
    /// Tries to make room in the memory budget for `added` bytes of a message
    /// of this caller that takes `message_bytes` in all. Returns whether they
    /// fit.
    std::function<bool(caller_id, std::size_t added, std::size_t message_bytes)>
        make_room;
    /// The connection has closed; a request from it may still be in progress.
    std::function<void(caller_id)> on_closed;
    /// Whether a request is handled although its caller has closed the
    /// connection behind it, as an announcement needs no answer.
    bool handles_departed{false};
};

class caller_connection {
public:
    /// `events` and `memory` must outlive the connection.
    caller_connection(
        caller_id id,
        int descriptor,
        http::request_limits limits,
        const caller_events& events,
        serving::memory_budget& memory
    );
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// Answers the current request and reads the next one, unless the
    /// connection is to close.
    void respond(
        std::uint16_t status,
        const std::vector<http::header>& headers,
        const shared_bytes& body,
        bool close
    );
    /// Answers a request whose rest isn't read. The connection closes when the
    /// caller has closed it, or after a while: an immediate close would reset
    /// it, and might keep the answer from its caller.
    void respond_unread(
        std::uint16_t status, const std::vector<http::header>& headers
    );
    /// Closes the connection now if it is idle, else with its next answer. It
    /// stays open until the kernel has the answers sent before.
    void close_when_idle();
    /// Closes the connection if the header or idle timeout has passed.
    void
    check_timeouts(instant now, duration header_timeout, duration idle_timeout);
    void set_limits(http::request_limits limits);
    /// Resets the connection, with what its caller hasn't read.
    void abort();

    /// What the connection takes, and for how long nothing has moved on it.
    [[nodiscard]] serving::caller_use use(instant now) const;
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] bool is_closed() const;

private:
    void handle_data(std::string_view bytes);
    [[nodiscard]] bool reserve();
    [[nodiscard]] std::size_t held_bytes() const;
    void update_reservation();
    void note_progress(std::size_t bytes);
    void write_body(std::string head, const shared_bytes& body);
    [[nodiscard]] bool has_unread_answers() const;
    void handle_read_all();
    void read_next_request();
    void read_request_behind();
    void refuse_malformed();
    void handle_drained();
    void close_once_read();
    void close_now();
    void handle_closed();

    caller_id id;
    const caller_events& events;
    net::stream* stream;
    http::request_reader reader;
    serving::memory_budget& memory;
    /// For the connection itself, the request that is being received and the
    /// copies of what the caller hasn't read.
    serving::memory_reservation reservation;
    /// What is reserved.
    std::size_t reserved_bytes{0};
    /// Whether a request waits for its answer.
    bool awaiting_response{false};
    /// Whether the caller has to read its answers before its next request is
    /// handled.
    bool waits_for_caller{false};
    /// Whether the current request allows another one on the connection.
    bool keep_alive{true};
    bool head_only{false};
    bool closing{false};
    /// Whether the caller has sent too much behind the current request.
    bool ignores_input{false};
    bool sent_continue{false};
    /// Whether the last answer was sent and the caller is to close the
    /// connection.
    bool awaiting_close{false};
    /// End of the last exchange, or arrival of a request's first byte.
    instant waiting_since;
    bool request_begun{false};
    /// When the last sizeable piece of a message was received or sent.
    instant progress_at;
    /// Bytes since then.
    std::size_t moved_bytes{0};
    /// As of the last check of the timeouts.
    std::size_t unsent_bytes{0};
};

} // namespace apricotstile::edge

#endif
