// Links that this daemon opens: connection, responses and liveness.

#include <apricotstile/peer/internal/peer_link_state.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <vector>

namespace apricotstile::peer {

namespace {

using namespace std::chrono_literals;
using internal::initial_reopen_backoff;

constexpr duration open_timeout = 300ms;
/// A link with unanswered requests is pinged after `ping_after` without data.
/// It counts as unresponsive if nothing arrives for `unresponsive_after` from
/// then on, and is closed after `close_after`. The socket's keepalive probes
/// detect a lost host earlier; a daemon that is merely busy still answers.
constexpr duration ping_after = 250ms;
constexpr duration unresponsive_after = 300ms;
constexpr duration close_after = 4s;
constexpr duration max_reopen_backoff = 1s;
constexpr auto log_prefix = "links";

} // namespace

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
            if (const auto* const part = std::get_if<response_part>(&*one)) {
                this->handle_response_part(link, *part);
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
            routed_response received = response->response;
            const auto parts = link.response_parts.extract(response->stream);
            if (!parts.empty() &&
                received.outcome == serving::attempt_outcome::answered) {
                received.body = parts.mapped().append(received.body.view());
            }
            handler(std::move(received));
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

void peer_links::handle_response_part(
    outgoing_link& link, const response_part& part
) {
    if (!link.waiting.contains(part.stream)) {
        return;
    }
    std::string& bytes = link.response_parts[part.stream];
    if (bytes.size() + part.bytes.size() > max_frame_length) {
        throw decode_error{"the parts of a response exceed the maximum"};
    }
    bytes += part.bytes;
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
    link.response_parts.clear();
    for (const response_handler& handler : handlers) {
        handler(unanswered_response(outcome));
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

} // namespace apricotstile::peer
