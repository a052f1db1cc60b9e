// Links that peers open: their requests and announcements.

#include <apricotstile/router/internal/log_format.hpp>
#include <apricotstile/router/internal/peer_link_state.hpp>

#include <apricotstile/log/logger.hpp>

#include <utility>

namespace apricotstile::router {

namespace {

using internal::format_for_log;

constexpr auto log_prefix = "links";

} // namespace

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

} // namespace apricotstile::router
