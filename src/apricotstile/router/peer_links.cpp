// Sends and receives frames on the links' streams.

#include <apricotstile/router/peer_links.hpp>

#include <apricotstile/router/internal/log_format.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/acceptor.hpp>
#include <apricotstile/net/stream.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;
using internal::format_for_log;

constexpr duration open_timeout = 300ms;
/// A link with unanswered requests is pinged after `ping_after` without data.
/// It counts as unresponsive if nothing arrives for `unresponsive_after` from
/// then on, and is closed after `close_after`. The socket's keepalive probes
/// detect a lost host earlier; a daemon that is merely busy still answers.
constexpr duration ping_after = 250ms;
constexpr duration unresponsive_after = 300ms;
constexpr duration close_after = 4s;
constexpr duration check_interval = 100ms;
constexpr duration initial_reopen_backoff = 200ms;
constexpr duration max_reopen_backoff = 1s;
/// Unsent bytes above which a link accepts no more requests.
constexpr std::size_t max_unsent_bytes = 4U << 20U;
constexpr auto log_prefix = "links";

routed_response unanswered_response(serving::attempt_outcome outcome) {
    routed_response response;
    response.outcome = outcome;
    return response;
}

} // namespace

struct peer_links::outgoing_link {
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
    /// The link isn't opened again before this time.
    instant reopen_at;
    duration reopen_backoff{initial_reopen_backoff};
    instant last_received_at;
    /// When the ping was sent that is unanswered.
    std::optional<instant> pinged_at;
    bool is_unresponsive{false};
};

struct peer_links::incoming_link {
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
};

peer_links::peer_links(
    const address& listen, net::timer_queue& timers, peer_link_events events
)
    : timers(timers), events(std::move(events)) {
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
        link = std::make_unique<outgoing_link>();
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

void peer_links::open(outgoing_link& link) {
    link.open = false;
    link.is_ready = false;
    link.received.clear();
    link.sent_headers = {};
    link.received_headers = {};
    link.stream = new net::stream{peer_address(link.peer), open_timeout};
    link.stream->on_open = [this, &link] {
        link.open = true;
        link.last_received_at = boot_clock::now();
        link.reopen_backoff = initial_reopen_backoff;
        log::write(
            log::level::info,
            log_prefix,
            "Link opened.",
            {{"peer", format_for_log(link.peer)}}
        );
    };
    link.stream->on_data = [this, &link](std::string_view bytes) {
        this->handle_outgoing_data(link, bytes);
    };
    link.stream->on_end = [this, &link](net::stream_end how) {
        this->handle_outgoing_end(link, how != net::stream_end::not_opened);
    };
    if (this->has_own_entry) {
        link.stream->write(encode_frame(this->own_entry, link.sent_headers));
    }
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
    link.stream->write(encode_frame(
        request_frame{stream, request, this->own_config}, link.sent_headers
    ));
    return stream;
}

void peer_links::cancel(host_id peer, stream_id stream) {
    outgoing_link& link = this->link_to(peer);
    if (link.waiting.erase(stream) > 0 && link.stream != nullptr) {
        link.stream->write(encode_frame(cancel_frame{stream}, link.sent_headers)
        );
    }
}

void peer_links::handle_outgoing_data(
    outgoing_link& link, std::string_view bytes
) {
    link.received += bytes;
    link.last_received_at = boot_clock::now();
    link.pinged_at.reset();
    link.is_unresponsive = false;
    try {
        while (const std::optional<frame> one =
                   decode_frame(link.received, link.received_headers)) {
            if (const auto* const entry = std::get_if<entry_frame>(&*one)) {
                this->events.on_entry(link.peer, *entry);
                if (!link.is_ready) {
                    link.is_ready = true;
                    this->events.on_link_ready(link.peer);
                }
                continue;
            }
            if (std::holds_alternative<pong_frame>(*one)) {
                continue;
            }
            const auto* const response = std::get_if<response_frame>(&*one);
            if (response == nullptr) {
                this->events.on_control(link.peer, *one, [](const frame&) {});
                continue;
            }
            this->events.on_load(link.peer, response->load);
            this->compare_config(link.peer, response->config);
            const auto found = link.waiting.find(response->stream);
            if (found == link.waiting.end()) {
                continue;
            }
            const response_handler handler = std::move(found->second);
            link.waiting.erase(found);
            handler(routed_response{response->response});
        }
    } catch (const decode_error& error) {
        log::write(
            log::level::error,
            log_prefix,
            "Outgoing link closed after a malformed frame.",
            {{"peer", format_for_log(link.peer)}, {"reason", error.what()}}
        );
        link.stream->abort();
        this->handle_outgoing_end(link, true);
    }
}

void peer_links::handle_outgoing_end(outgoing_link& link, bool was_open) {
    link.stream = nullptr;
    link.open = false;
    link.pinged_at.reset();
    link.is_unresponsive = false;
    link.received.clear();
    link.reopen_at = boot_clock::now() + link.reopen_backoff;
    link.reopen_backoff = std::min(max_reopen_backoff, link.reopen_backoff * 2);
    log::write(
        log::level::warning,
        log_prefix,
        was_open ? "Link lost." : "Link could not be opened.",
        {{"peer", format_for_log(link.peer)},
         {"unanswered", std::to_string(link.waiting.size())}}
    );
    const auto outcome = was_open ? serving::attempt_outcome::lost
                                  : serving::attempt_outcome::refused_closed;
    std::vector<response_handler> handlers;
    for (auto& [stream, handler] : link.waiting) {
        handlers.push_back(std::move(handler));
    }
    link.waiting.clear();
    for (const response_handler& handler : handlers) {
        handler(unanswered_response(outcome));
    }
}

void peer_links::handle_accept(int descriptor) {
    this->last_connection = next(this->last_connection);
    auto link = std::make_unique<incoming_link>();
    incoming_link& added = *link;
    added.connection = this->last_connection;
    added.stream = new net::stream{descriptor};
    this->incoming_links.emplace(added.connection, std::move(link));
    added.stream->on_data = [this, &added](std::string_view bytes) {
        this->handle_incoming_data(added, bytes);
    };
    added.stream->on_end = [this,
                            connection = added.connection](net::stream_end) {
        this->handle_incoming_end(connection);
    };
    if (this->has_own_entry) {
        added.stream->write(encode_frame(this->own_entry, added.sent_headers));
    }
}

void peer_links::handle_incoming_data(
    incoming_link& link, std::string_view bytes
) {
    link.received += bytes;
    try {
        while (std::optional<frame> one =
                   decode_frame(link.received, link.received_headers)) {
            if (const auto* const entry = std::get_if<entry_frame>(&*one)) {
                link.is_known = true;
                link.peer = entry->member.host;
                link.caller_service = entry->member.service;
                this->connect_without_backoff(link.peer);
                this->events.on_entry(link.peer, *entry);
            } else if (auto* const request = std::get_if<request_frame>(&*one);
                       request != nullptr && link.is_known) {
                this->compare_config(link.peer, request->config);
                link.unanswered.insert(request->stream);
                this->events.on_request(
                    {link.connection, request->stream},
                    std::move(request->request),
                    link.caller_service
                );
            } else if (const auto* const cancelled = std::get_if<cancel_frame>(&*one)) {
                if (link.unanswered.erase(cancelled->stream) > 0) {
                    this->events.on_cancel({link.connection, cancelled->stream}
                    );
                }
            } else if (std::holds_alternative<ping_frame>(*one)) {
                link.stream->write(encode_frame(pong_frame{}, link.sent_headers)
                );
            } else if (link.is_known) {
                this->events
                    .on_control(link.peer, *one, [&link](const frame& reply) {
                        link.stream->write(
                            encode_frame(reply, link.sent_headers)
                        );
                    });
            } else {
                throw decode_error{"a peer sent a frame before its entry"};
            }
        }
    } catch (const decode_error& error) {
        log::write(
            log::level::error,
            log_prefix,
            "Incoming link closed after a malformed frame.",
            {{"peer", format_for_log(link.peer)}, {"reason", error.what()}}
        );
        link.stream->abort();
        this->handle_incoming_end(link.connection);
    }
}

void peer_links::handle_incoming_end(peer_connection_id connection) {
    const auto found = this->incoming_links.find(connection);
    if (found == this->incoming_links.end()) {
        return;
    }
    const std::set<stream_id> unanswered = std::move(found->second->unanswered);
    this->incoming_links.erase(found);
    for (const stream_id stream : unanswered) {
        this->events.on_cancel({connection, stream});
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

/// Pings peers that have sent nothing for a while, and closes links that stay
/// unresponsive.
void peer_links::check_liveness() {
    const instant now = boot_clock::now();
    std::vector<outgoing_link*> links;
    for (const auto& [peer, link] : this->outgoing_links) {
        if (link->open) {
            links.push_back(link.get());
        }
    }
    for (outgoing_link* const link : links) {
        if (!link->pinged_at) {
            if (!link->waiting.empty() &&
                now - link->last_received_at > ping_after) {
                link->pinged_at = now;
                link->stream->write(
                    encode_frame(ping_frame{}, link->sent_headers)
                );
            }
            continue;
        }
        const duration elapsed = now - *link->pinged_at;
        if (elapsed > unresponsive_after && !link->is_unresponsive) {
            link->is_unresponsive = true;
            log::write(
                log::level::warning,
                log_prefix,
                "Peer is unresponsive.",
                {{"peer", format_for_log(link->peer)},
                 {"unanswered", std::to_string(link->waiting.size())}}
            );
            this->events.on_unresponsive(link->peer);
        }
        if (elapsed > close_after && link->stream != nullptr) {
            link->stream->abort();
            this->handle_outgoing_end(*link, true);
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

} // namespace apricotstile::router
