// The links between this daemon and its peers. Each daemon opens its own link
// to a peer for the requests that it sends there; responses come back on it.

#ifndef APRICOTSTILE_PEER_PEER_LINKS_HPP
#define APRICOTSTILE_PEER_PEER_LINKS_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/serving/memory_budget.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace apricotstile::net {
class acceptor;
class stream;
} // namespace apricotstile::net

namespace apricotstile::peer {

/// Identifies a connection that a peer opened; never reused.
using peer_connection_id =
    strong_id<struct peer_connection_id_tag, std::uint64_t>;

/// Where the response to a peer's request goes.
struct peer_request_id {
    peer_connection_id connection;
    stream_id stream;

    friend auto
    operator<=>(const peer_request_id&, const peer_request_id&) = default;
};

struct peer_link_events {
    /// A peer's request; `caller_service` is the service beside that peer.
    std::function<void(
        peer_request_id, routed_request&&, const service_id& caller_service
    )>
        on_request;
    /// A peer's request is refused while it is received, as it doesn't fit into
    /// the memory budget beside the others. The handler must respond.
    std::function<void(peer_request_id)> on_memory_refused;
    /// The peer no longer waits for the response, or its connection ended.
    std::function<void(peer_request_id)> on_cancel;
    std::function<void(host_id, const entry_frame&)> on_entry;
    /// A link that this daemon opened has brought the peer's entry: the peer
    /// runs, and may have missed messages sent before.
    std::function<void(host_id)> on_link_ready;
    /// Any other frame from a peer, with a function that sends a reply.
    std::function<
        void(host_id, const frame&, const std::function<void(const frame&)>&)>
        on_control;
    /// A peer doesn't answer although its link is open.
    std::function<void(host_id)> on_unresponsive;
    /// The load that came with a response; called before the response is
    /// handled.
    std::function<void(host_id, const serving::reported_load&)> on_load;
    /// A peer has applied a newer configuration than this daemon.
    std::function<void(host_id, routing::config_version)> on_newer_config;
};

class peer_links {
public:
    using response_handler = std::function<void(routed_response&&)>;

    /// `memory` must outlive the links and `timers`. Throws
    /// `std::runtime_error` if it can't listen.
    peer_links(
        const address& listen,
        net::timer_queue& timers,
        serving::memory_budget& memory,
        peer_link_events events
    );
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;
    ~peer_links();

    /// Sends a request. `done` is called once, never before this returns,
    /// unless the request is cancelled.
    stream_id
    send(host_id peer, const routed_request& request, response_handler done);
    /// Cancels a request at the peer; `done` isn't called.
    void cancel(host_id peer, stream_id stream);
    /// Answers a peer's request. Ignored if its connection has ended.
    void respond(peer_request_id to, response_frame&& response);
    /// Sends some of the bytes of the response's body, whose rest is passed to
    /// `respond` later.
    void respond_part(peer_request_id to, const response_part& part);
    /// Bytes on the connection that the response goes to that the kernel hasn't
    /// accepted yet.
    [[nodiscard]] std::size_t unsent_response_bytes(peer_request_id to) const;
    /// The same for all connections that peers opened.
    [[nodiscard]] std::size_t unsent_response_bytes() const;
    /// Sets the version that requests and responses to peers carry.
    void set_config_version(routing::config_version version);
    /// Sends this daemon's entry to all peers, now and whenever a link opens.
    void publish_entry(const entry_frame& own_entry);
    /// Sends a message to all peers whose links are open.
    void broadcast(const frame& message);
    /// Opens the link to `peer` unless it is open or failed recently.
    void connect(host_id peer);
    /// Sends a message other than a request, if the link is or can be opened.
    void send_message(host_id peer, const frame& message);
    /// Whether the link to `peer` is open and the peer is responsive.
    [[nodiscard]] bool is_reachable(host_id peer) const;
    [[nodiscard]] std::size_t open_links() const;

private:
    struct outgoing_body;
    struct incoming_body;
    struct outgoing_link;
    struct incoming_link;

    outgoing_link& link_to(host_id peer);
    void open(outgoing_link& link);
    void connect_without_backoff(host_id peer);
    void handle_outgoing_data(outgoing_link& link, std::string_view bytes);
    void handle_entry(outgoing_link& link, const entry_frame& entry);
    void handle_response(outgoing_link& link, const response_frame& response);
    void handle_response_part(outgoing_link& link, const response_part& part);
    void update_reservation(outgoing_link& link);
    static std::string take_parts(outgoing_link& link, stream_id stream);
    void send_bodies(outgoing_link& link);
    void send_next_part(outgoing_link& link);
    static bool drop_body(outgoing_link& link, stream_id stream);
    void handle_outgoing_end(outgoing_link& link, bool was_open);
    void check_liveness();
    void compare_config(host_id peer, routing::config_version version);
    void handle_accept(int descriptor);
    void handle_incoming_frames(incoming_link& link, bool is_ending);
    void handle_incoming_frame(incoming_link& link, frame&& received);
    void handle_request(incoming_link& link, request_frame&& received);
    void handle_request_head(incoming_link& link, request_head&& received);
    void handle_request_part(incoming_link& link, const request_part& received);
    void handle_incoming_end(peer_connection_id connection);

    net::timer_queue& timers;
    serving::memory_budget& memory;
    peer_link_events events;
    routing::config_version own_config;
    entry_frame own_entry;
    bool has_own_entry{false};
    std::unordered_map<host_id, std::unique_ptr<outgoing_link>> outgoing_links;
    std::unordered_map<peer_connection_id, std::unique_ptr<incoming_link>>
        incoming_links;
    peer_connection_id last_connection;
    std::unique_ptr<net::acceptor> listener;
};

} // namespace apricotstile::peer

#endif
