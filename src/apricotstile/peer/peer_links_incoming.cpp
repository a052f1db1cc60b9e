// Links that peers open: their requests and announcements.

#include <apricotstile/peer/internal/peer_link_state.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/serving/held_bytes.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace apricotstile::peer {

namespace {

constexpr auto log_prefix = "links";

/// Of a request in parts, where the memory isn't limited.
constexpr std::size_t max_body_bytes = 1U << 30U;

struct received_frames {
    /// Complete frames, up to the first malformed one.
    std::vector<frame> frames;
    /// The requests that are cancelled by one of them.
    std::set<stream_id> cancelled;
    /// Why a frame is malformed.
    std::optional<std::string> error;
};

/// The request that a frame brings, or a part of it.
std::optional<stream_id> request_of(const frame& one) {
    if (const auto* const whole = std::get_if<request_frame>(&one)) {
        return whole->stream;
    }
    if (const auto* const part = std::get_if<request_part>(&one)) {
        return part->stream;
    }
    return std::nullopt;
}

/// The time that is left after some has passed.
duration remaining(duration left, duration passed) {
    return std::max(left - passed, duration{0});
}

/// Removes all complete frames from `bytes`.
received_frames decode_all(std::string& bytes, header_table& headers) {
    received_frames result;
    try {
        while (std::optional<frame> one = decode_frame(bytes, headers)) {
            if (const auto* const end = std::get_if<cancel_frame>(&*one)) {
                result.cancelled.insert(end->stream);
            }
            result.frames.push_back(std::move(*one));
        }
    } catch (const decode_error& error) {
        result.error = error.what();
    }
    return result;
}

} // namespace

void peer_links::handle_accept(int descriptor) {
    this->last_connection = next(this->last_connection);
    auto link = std::make_unique<incoming_link>(this->memory);
    incoming_link& added = *link;
    added.connection = this->last_connection;
    added.stream = new net::stream{descriptor};
    this->incoming_links.emplace(added.connection, std::move(link));
    added.stream->on_data = [&added](std::string_view bytes) {
        added.received += bytes;
        added.update_reservation();
    };
    added.stream->on_read_all = [this, &added] {
        this->handle_incoming_frames(added, false);
    };
    added.stream->on_end = [this, &added](net::stream_end) {
        const peer_connection_id connection = added.connection;
        this->handle_incoming_frames(added, true);
        this->handle_incoming_end(connection);
    };
    if (this->has_own_entry) {
        added.stream->write(encode_frame(this->own_entry, added.sent_headers));
    }
}

/// Handles all frames that have arrived. Requests that are cancelled by one of
/// them aren't passed on, nor is any if the link is ending: after this daemon
/// was blocked, both may have arrived at the same time.
void peer_links::handle_incoming_frames(incoming_link& link, bool is_ending) {
    received_frames received = decode_all(link.received, link.received_headers);
    link.update_reservation();
    try {
        for (frame& one : received.frames) {
            const std::optional<stream_id> request = request_of(one);
            if (!request ||
                (!is_ending && !received.cancelled.contains(*request))) {
                this->handle_incoming_frame(link, std::move(one));
            }
        }
        if (received.error) {
            throw decode_error{*received.error};
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

void peer_links::handle_incoming_frame(incoming_link& link, frame&& received) {
    if (const auto* const entry = std::get_if<entry_frame>(&received)) {
        link.is_known = true;
        link.peer = entry->member.host;
        link.caller_service = entry->member.service;
        this->connect_without_backoff(link.peer);
        this->events.on_entry(link.peer, *entry);
    } else if (auto* const request = std::get_if<request_frame>(&received);
               request != nullptr && link.is_known) {
        request->request.body =
            serving::hold(request->request.body, this->memory);
        this->handle_request(link, std::move(*request));
    } else if (auto* const head = std::get_if<request_head>(&received);
               head != nullptr && link.is_known) {
        this->handle_request_head(link, std::move(*head));
    } else if (const auto* const part = std::get_if<request_part>(&received)) {
        this->handle_request_part(link, *part);
    } else if (const auto* const cancelled = std::get_if<cancel_frame>(&received)) {
        link.bodies.erase(cancelled->stream);
        if (link.unanswered.erase(cancelled->stream) > 0) {
            this->events.on_cancel({link.connection, cancelled->stream});
        }
    } else if (std::holds_alternative<ping_frame>(received)) {
        link.stream->write(encode_frame(pong_frame{}, link.sent_headers));
    } else if (link.is_known) {
        this->events
            .on_control(link.peer, received, [&link](const frame& reply) {
                link.stream->write(encode_frame(reply, link.sent_headers));
            });
    } else {
        throw decode_error{"a peer sent a frame before its entry"};
    }
}

void peer_links::handle_request(incoming_link& link, request_frame&& received) {
    this->compare_config(link.peer, received.config);
    link.unanswered.insert(received.stream);
    this->events.on_request(
        {link.connection, received.stream},
        std::move(received.request),
        link.caller_service
    );
}

/// Reserves memory for the whole body, or refuses the request: its peer needn't
/// send the rest then.
void peer_links::handle_request_head(
    incoming_link& link, request_head&& received
) {
    if (received.body_bytes == 0) {
        throw decode_error{"the body of a request in parts is empty"};
    }
    const stream_id stream = received.stream;
    const auto body_bytes = static_cast<std::size_t>(received.body_bytes);
    link.unanswered.insert(stream);
    if (body_bytes > max_body_bytes ||
        !serving::fits(this->memory, body_bytes)) {
        ++this->memory.refused;
        log::write(
            log::level::warning,
            log_prefix,
            "Request of a peer refused: it would take too much memory.",
            {{"peer", format_for_log(link.peer)},
             {"bytes", std::to_string(body_bytes)},
             {"reserved", std::to_string(this->memory.reserved)},
             {"limit", std::to_string(this->memory.limit)}}
        );
        this->events.on_memory_refused({link.connection, stream});
        return;
    }
    incoming_body& added =
        link.bodies.try_emplace(stream, this->memory).first->second;
    added.head = std::move(received);
    added.began = boot_clock::now();
    added.bytes.reserve(body_bytes);
    added.memory.set(body_bytes);
}

void peer_links::handle_request_part(
    incoming_link& link, const request_part& received
) {
    const auto found = link.bodies.find(received.stream);
    if (found == link.bodies.end()) {
        return;
    }
    incoming_body& item = found->second;
    if (received.bytes.size() > item.head.body_bytes - item.bytes.size()) {
        throw decode_error{"the parts of a request exceed its length"};
    }
    item.bytes += received.bytes;
    if (item.bytes.size() < item.head.body_bytes) {
        return;
    }
    const duration passed = boot_clock::now() - item.began;
    request_frame whole{
        item.head.stream, std::move(item.head.request), item.head.config};
    whole.request.body =
        serving::hold(shared_bytes{std::move(item.bytes)}, this->memory);
    whole.request.time_to_target =
        remaining(whole.request.time_to_target, passed);
    whole.request.time_to_deadline =
        remaining(whole.request.time_to_deadline, passed);
    link.bodies.erase(found);
    this->handle_request(link, std::move(whole));
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

} // namespace apricotstile::peer
