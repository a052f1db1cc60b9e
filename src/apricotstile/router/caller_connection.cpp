// A caller's requests and answers on one stream.

#include <apricotstile/router/caller_connection.hpp>

#include <apricotstile/net/stream.hpp>

namespace apricotstile::router {

caller_connection::caller_connection(
    caller_id id,
    int descriptor,
    http::request_limits limits,
    const caller_events& events
)
    : id(id), events(events), stream(new net::stream{descriptor}),
      reader(limits), since(boot_clock::now()) {
    this->stream->on_data = [this](std::string_view bytes) {
        this->data(bytes);
    };
    this->stream->on_end = [this](net::stream_end) {
        this->stream = nullptr;
        this->events.on_gone(this->id);
    };
}

caller_connection::~caller_connection() {
    if (this->stream != nullptr) {
        this->stream->close();
    }
}

void caller_connection::data(std::string_view bytes) {
    if (!this->began) {
        this->began = true;
        this->since = boot_clock::now();
    }
    const http::read_progress progress = this->reader.put(bytes);
    if (this->answering) {
        return;
    }
    if (progress == http::read_progress::incomplete) {
        if (!this->sent_continue && this->reader.expects_continue()) {
            this->sent_continue = true;
            this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    }
    this->read_on();
}

/// Takes the next request where it is complete.
void caller_connection::read_on() {
    if (this->reader.progress() == http::read_progress::malformed) {
        this->refuse_malformed();
        return;
    }
    if (this->reader.progress() != http::read_progress::complete) {
        return;
    }
    http::received_request request = this->reader.take();
    this->answering = true;
    this->keep_alive = request.keep_alive;
    this->head_only = request.method == "HEAD";
    this->sent_continue = false;
    this->events.on_request(this->id, std::move(request));
}

void caller_connection::refuse_malformed() {
    this->answering = true;
    this->keep_alive = false;
    this->respond(this->reader.refusal_status(), {}, {}, true);
}

void caller_connection::respond(
    std::uint16_t status,
    const std::vector<http::header>& headers,
    std::string_view body,
    bool close
) {
    if (this->stream == nullptr) {
        return;
    }
    const bool last = close || this->closing || !this->keep_alive;
    this->stream->write(
        http::response_bytes(status, headers, body, last, this->head_only)
    );
    this->answering = false;
    this->began = this->reader.has_begun();
    this->since = boot_clock::now();
    if (last) {
        this->stream->close();
        this->stream = nullptr;
        this->events.on_gone(this->id);
        return;
    }
    this->read_on();
}

void caller_connection::close_when_idle() {
    this->closing = true;
    if (this->is_idle() && this->stream != nullptr) {
        this->stream->close();
        this->stream = nullptr;
        this->events.on_gone(this->id);
    }
}

void caller_connection::check_times(
    instant now, duration header_timeout, duration idle_timeout
) {
    if (this->stream == nullptr || this->answering) {
        return;
    }
    const duration passed = now - this->since;
    const bool too_slow = this->reader.has_begun() && passed > header_timeout &&
                          !this->reader.in_body();
    const bool too_idle = passed > idle_timeout;
    if (too_slow || too_idle) {
        this->stream->close();
        this->stream = nullptr;
        this->events.on_gone(this->id);
    }
}

void caller_connection::set_limits(http::request_limits limits) {
    this->reader.set_limits(limits);
}

bool caller_connection::is_idle() const {
    return !this->answering && !this->reader.has_begun();
}

bool caller_connection::is_closed() const {
    return this->stream == nullptr;
}

} // namespace apricotstile::router
