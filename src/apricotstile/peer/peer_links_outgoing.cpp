// Links that this daemon opens: connection, responses and liveness.

#include <apricotstile/peer/internal/peer_link_state.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/serving/held_bytes.hpp>

#include <algorithm>
#include <utility>
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
/// Parts are sent while fewer bytes wait for the kernel, so that small frames
/// don't wait behind them.
constexpr std::size_t max_unsent_part_bytes = 64U << 10U;
constexpr std::size_t part_bytes = 32U << 10U;
/// Bounds the work of one turn of the event loop.
constexpr int max_parts_per_turn = 16;
constexpr auto log_prefix = "links";

} // namespace

void peer_links::open(outgoing_link& link) {
    link.open = false;
    link.is_ready = false;
    link.received.clear();
    link.accepts_parts = false;
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
    link.stream->on_drained = [this, &link] {
        this->send_bodies(link);
        this->update_reservation(link);
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
                this->handle_entry(link, *entry);
            } else if (const auto* const part = std::get_if<response_part>(&*one)) {
                this->handle_response_part(link, *part);
            } else if (const auto* const response = std::get_if<response_frame>(&*one)) {
                this->handle_response(link, *response);
            } else if (!std::holds_alternative<pong_frame>(*one)) {
                this->events.on_control(link.peer, *one, [](const frame&) {});
            }
        }
        this->update_reservation(link);
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

void peer_links::handle_entry(outgoing_link& link, const entry_frame& entry) {
    link.accepts_parts = entry.accepts_parts;
    this->events.on_entry(link.peer, entry);
    if (!link.is_ready) {
        link.is_ready = true;
        this->events.on_link_ready(link.peer);
        this->send_bodies(link);
    }
}

void peer_links::handle_response(
    outgoing_link& link, const response_frame& response
) {
    this->events.on_load(link.peer, response.load);
    this->compare_config(link.peer, response.config);
    drop_body(link, response.stream);
    const auto found = link.waiting.find(response.stream);
    if (found == link.waiting.end()) {
        return;
    }
    const response_handler handler = std::move(found->second);
    link.waiting.erase(found);
    routed_response received = response.response;
    std::string parts = take_parts(link, response.stream);
    if (!parts.empty() &&
        received.outcome == serving::attempt_outcome::answered) {
        parts += received.body.view();
        received.body = std::move(parts);
    }
    received.body = serving::hold(received.body, this->memory);
    handler(std::move(received));
}

/// An answer that takes the process beyond its memory is given up.
void peer_links::handle_response_part(
    outgoing_link& link, const response_part& part
) {
    const auto found = link.waiting.find(part.stream);
    if (found == link.waiting.end()) {
        return;
    }
    if (serving::exceeds_hard_limit(this->memory, part.bytes.size())) {
        ++this->memory.refused;
        log::write(
            log::level::warning,
            log_prefix,
            "Answer given up while it was received: answers take too much "
            "memory.",
            {{"peer", format_for_log(link.peer)},
             {"reserved", std::to_string(this->memory.reserved)},
             {"limit", std::to_string(this->memory.limit)}}
        );
        const response_handler handler = std::move(found->second);
        this->cancel(link.peer, part.stream);
        handler(unanswered_response(serving::attempt_outcome::lost));
        return;
    }
    std::string& bytes = link.response_parts[part.stream];
    if (bytes.size() + part.bytes.size() > max_frame_length) {
        throw decode_error{"the parts of a response exceed the maximum"};
    }
    link.response_part_bytes -= bytes.capacity();
    bytes += part.bytes;
    link.response_part_bytes += bytes.capacity();
}

/// Removes the parts of a response that have arrived, and returns them.
std::string peer_links::take_parts(outgoing_link& link, stream_id stream) {
    auto parts = link.response_parts.extract(stream);
    if (parts.empty()) {
        return {};
    }
    link.response_part_bytes -= parts.mapped().capacity();
    return std::move(parts.mapped());
}

void peer_links::update_reservation(outgoing_link& link) {
    const std::size_t copied =
        link.stream == nullptr ? 0 : link.stream->copied_bytes();
    link.memory.set(
        link.received.capacity() + link.response_part_bytes + copied
    );
}

/// Sends parts of the requests' bodies in turn, while the connection takes
/// them.
void peer_links::send_bodies(outgoing_link& link) {
    const auto may_send = [&] {
        return link.stream != nullptr && link.is_ready &&
               !link.bodies.empty() &&
               link.stream->unsent_bytes() < max_unsent_part_bytes;
    };
    for (int parts = 0; parts < max_parts_per_turn && may_send(); ++parts) {
        this->send_next_part(link);
    }
    if (!may_send() || std::exchange(link.sending_scheduled, true)) {
        return;
    }
    this->timers.after(0ms, [this, peer = link.peer] {
        outgoing_link& later = this->link_to(peer);
        later.sending_scheduled = false;
        this->send_bodies(later);
    });
}

void peer_links::send_next_part(outgoing_link& link) {
    outgoing_body item = std::move(link.bodies.front());
    link.bodies.pop_front();
    const stream_id stream = item.head.stream;
    if (!link.accepts_parts) {
        item.head.request.body = item.body;
        link.stream->write(encode_frame(
            request_frame{stream, item.head.request, item.head.config},
            link.sent_headers
        ));
        return;
    }
    if (!std::exchange(item.head_sent, true)) {
        link.stream->write(encode_frame(item.head, link.sent_headers));
    }
    const std::string_view next =
        item.body.view().substr(item.sent_bytes, part_bytes);
    link.stream->write(
        encode_frame(request_part{stream, std::string{next}}, link.sent_headers)
    );
    item.sent_bytes += next.size();
    if (item.sent_bytes < item.body.size()) {
        link.bodies.push_back(std::move(item));
    }
}

/// Sends no more of a request's body. Returns whether the peer knows nothing of
/// the request.
bool peer_links::drop_body(outgoing_link& link, stream_id stream) {
    const auto found = std::find_if(
        link.bodies.begin(),
        link.bodies.end(),
        [&](const outgoing_body& one) {
            return one.head.stream == stream;
        }
    );
    if (found == link.bodies.end()) {
        return false;
    }
    const bool is_unknown = !found->head_sent;
    link.bodies.erase(found);
    return is_unknown;
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

    struct ended_request {
        response_handler handler;
        serving::attempt_outcome outcome;
    };

    // A peer runs no request whose body it doesn't have completely.
    const auto is_unsent = [&](stream_id stream) {
        return std::any_of(
            link.bodies.begin(),
            link.bodies.end(),
            [&](const outgoing_body& one) {
                return one.head.stream == stream;
            }
        );
    };
    std::vector<ended_request> ended;
    for (auto& [stream, handler] : link.waiting) {
        const bool may_have_run = was_open && !is_unsent(stream);
        ended.push_back(
            {std::move(handler),
             may_have_run ? serving::attempt_outcome::lost
                          : serving::attempt_outcome::refused_closed}
        );
    }
    link.waiting.clear();
    link.response_parts.clear();
    link.response_part_bytes = 0;
    link.bodies.clear();
    this->update_reservation(link);
    for (const ended_request& one : ended) {
        one.handler(unanswered_response(one.outcome));
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
