// The links as a whole, and what is sent on them.

#include <apricotstile/peer/internal/peer_link_state.hpp>

#include <apricotstile/net/acceptor.hpp>

#include <algorithm>

namespace apricotstile::peer {

namespace {

using namespace std::chrono_literals;

constexpr duration check_interval = 100ms;
/// Unsent bytes above which a link accepts no more requests.
constexpr std::size_t max_unsent_bytes = 4U << 20U;
/// A larger body is sent in parts.
constexpr std::size_t max_whole_body_bytes = 64U << 10U;

} // namespace

peer_links::peer_links(
    const address& listen,
    net::timer_queue& timers,
    serving::memory_budget& memory,
    peer_link_events events
)
    : timers(timers), memory(memory), events(std::move(events)) {
    this->listener = std::make_unique<net::acceptor>(
        listen,
        [this](int descriptor, const address&) {
            this->handle_accept(descriptor);
        }
    );
    this->timers.every(check_interval, [this] {
        this->check_liveness();
    });
}

peer_links::~peer_links() {
    for (auto& [peer, link] : this->outgoing_links) {
        if (link->stream != nullptr) {
            link->stream->close();
        }
    }
    for (auto& [connection, link] : this->incoming_links) {
        if (link->stream != nullptr) {
            link->stream->close();
        }
    }
}

peer_links::outgoing_link& peer_links::link_to(host_id peer) {
    auto& link = this->outgoing_links[peer];
    if (!link) {
        link = std::make_unique<outgoing_link>(this->memory);
        link->peer = peer;
    }
    return *link;
}

void peer_links::connect(host_id peer) {
    outgoing_link& link = this->link_to(peer);
    if (link.stream == nullptr && boot_clock::now() >= link.reopen_at) {
        this->open(link);
    }
}

/// A peer that opens a link is reachable again.
void peer_links::connect_without_backoff(host_id peer) {
    this->link_to(peer).reopen_at = instant{};
    this->connect(peer);
}

stream_id peer_links::send(
    host_id peer, const routed_request& request, response_handler done
) {
    outgoing_link& link = this->link_to(peer);
    link.last_stream = next(link.last_stream);
    const stream_id stream = link.last_stream;
    if (link.stream == nullptr && boot_clock::now() >= link.reopen_at) {
        this->open(link);
    }
    link.waiting.emplace(stream, std::move(done));
    if (link.stream == nullptr ||
        link.stream->unsent_bytes() > max_unsent_bytes) {
        // Deferred, so that the caller knows the stream's id first.
        this->timers.after(0ms, [this, peer, stream] {
            outgoing_link& failed = this->link_to(peer);
            const auto found = failed.waiting.find(stream);
            if (found != failed.waiting.end()) {
                const response_handler handler = std::move(found->second);
                failed.waiting.erase(found);
                handler(unanswered_response(
                    serving::attempt_outcome::refused_closed
                ));
            }
        });
        return stream;
    }
    if (request.body.size() <= max_whole_body_bytes) {
        link.stream->write(encode_frame(
            request_frame{stream, request, this->own_config}, link.sent_headers
        ));
        return stream;
    }
    outgoing_body added;
    added.head = {stream, request, this->own_config, request.body.size()};
    added.head.request.body = {};
    added.body = request.body;
    link.bodies.push_back(std::move(added));
    this->send_bodies(link);
    return stream;
}

void peer_links::cancel(host_id peer, stream_id stream) {
    outgoing_link& link = this->link_to(peer);
    take_parts(link, stream);
    const bool is_known_to_peer = !drop_body(link, stream);
    if (link.waiting.erase(stream) > 0 && link.stream != nullptr &&
        is_known_to_peer) {
        link.stream->write(encode_frame(cancel_frame{stream}, link.sent_headers)
        );
    }
}

void peer_links::set_config_version(routing::config_version version) {
    this->own_config = version;
}

void peer_links::compare_config(host_id peer, routing::config_version version) {
    if (version > this->own_config) {
        this->events.on_newer_config(peer, version);
    }
}

void peer_links::respond(peer_request_id to, response_frame&& response) {
    const auto found = this->incoming_links.find(to.connection);
    if (found == this->incoming_links.end() ||
        found->second->unanswered.erase(to.stream) == 0) {
        return;
    }
    incoming_link& link = *found->second;
    response.config = this->own_config;
    link.stream->write(encode_frame(std::move(response), link.sent_headers));
}

void peer_links::respond_part(peer_request_id to, const response_part& part) {
    const auto found = this->incoming_links.find(to.connection);
    if (found == this->incoming_links.end() ||
        !found->second->unanswered.contains(to.stream)) {
        return;
    }
    incoming_link& link = *found->second;
    link.stream->write(encode_frame(part, link.sent_headers));
}

std::size_t peer_links::unsent_response_bytes(peer_request_id to) const {
    const auto found = this->incoming_links.find(to.connection);
    return found == this->incoming_links.end()
               ? 0
               : found->second->stream->unsent_bytes();
}

std::size_t peer_links::unsent_response_bytes() const {
    std::size_t total = 0;
    for (const auto& [connection, link] : this->incoming_links) {
        total += link->stream->unsent_bytes();
    }
    return total;
}

void peer_links::publish_entry(const entry_frame& entry) {
    this->own_entry = entry;
    this->has_own_entry = true;
    header_table none;
    const std::string bytes = encode_frame(entry, none);
    for (auto& [peer, link] : this->outgoing_links) {
        if (link->stream != nullptr) {
            link->stream->write(bytes);
        }
    }
    for (auto& [connection, link] : this->incoming_links) {
        link->stream->write(bytes);
    }
}

void peer_links::send_message(host_id peer, const frame& message) {
    this->connect(peer);
    outgoing_link& link = this->link_to(peer);
    if (link.stream != nullptr) {
        link.stream->write(encode_frame(message, link.sent_headers));
    }
}

void peer_links::broadcast(const frame& message) {
    for (auto& [peer, link] : this->outgoing_links) {
        if (link->open) {
            link->stream->write(encode_frame(message, link->sent_headers));
        }
    }
}

bool peer_links::is_reachable(host_id peer) const {
    const auto found = this->outgoing_links.find(peer);
    return found != this->outgoing_links.end() && found->second->open &&
           !found->second->is_unresponsive;
}

std::size_t peer_links::open_links() const {
    return static_cast<std::size_t>(std::count_if(
        this->outgoing_links.begin(),
        this->outgoing_links.end(),
        [](const auto& one) {
            return one.second->open;
        }
    ));
}

} // namespace apricotstile::peer
