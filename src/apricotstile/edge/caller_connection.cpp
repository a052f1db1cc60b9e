// A caller's requests and answers on one stream.

#include <apricotstile/edge/caller_connection.hpp>

#include <apricotstile/net/stream.hpp>
#include <apricotstile/serving/held_bytes.hpp>
#include <apricotstile/serving/memory_budget.hpp>

#include <algorithm>

namespace apricotstile::edge {

namespace {

/// Of requests behind one that isn't answered yet. Beyond it the connection
/// closes after that answer, and its caller sends the others again.
constexpr std::size_t max_waiting_bytes = 64U << 10U;

/// Of answers that the caller hasn't read. Beyond it the next request behind
/// them has to wait: 64 KiB of waiting requests can have answers of hundreds of
/// megabytes.
constexpr std::size_t max_unsent_bytes = 256U << 10U;

/// Callers may read as slowly as their deadlines allow. The kernel takes one
/// that makes room in small pieces for one that makes none.
constexpr duration unacknowledged_timeout = std::chrono::seconds{30};

/// How long a caller has to close a connection behind its last answer.
constexpr duration close_timeout = std::chrono::seconds{2};

/// Memory of a connection on which nothing was received: its socket, parser and
/// entries in tables.
constexpr std::size_t connection_bytes = 6U << 10U;

/// Smaller pieces of a body or an answer don't count as progress, as a caller
/// could keep its memory with a byte from time to time.
constexpr std::size_t progress_bytes = 1U << 10U;

/// A smaller body is sent in one call with the head before it.
constexpr std::size_t max_joined_body_bytes = 64U << 10U;

} // namespace

caller_connection::caller_connection(
    caller_id id,
    int descriptor,
    http::request_limits limits,
    const caller_events& events,
    serving::memory_budget& memory
)
    : id(id), events(events),
      stream(new net::stream{descriptor, unacknowledged_timeout}),
      reader(limits), memory(memory), reservation(memory),
      waiting_since(boot_clock::now()), progress_at(waiting_since) {
    this->update_reservation();
    this->stream->on_data = [this](std::string_view bytes) {
        this->handle_data(bytes);
    };
    this->stream->on_read_all = [this] {
        this->handle_read_all();
    };
    this->stream->on_drained = [this] {
        this->handle_drained();
    };
    this->stream->on_end = [this](net::stream_end) {
        this->stream = nullptr;
        this->update_reservation();
        if (this->events.handles_departed && !this->awaiting_response) {
            this->read_next_request();
        }
        this->events.on_closed(this->id);
    };
}

caller_connection::~caller_connection() {
    if (this->stream != nullptr) {
        this->stream->close();
    }
}

void caller_connection::handle_data(std::string_view bytes) {
    if (this->ignores_input) {
        return;
    }
    if (!this->request_begun) {
        this->request_begun = true;
        this->waiting_since = boot_clock::now();
        this->progress_at = this->waiting_since;
    }
    this->note_progress(bytes.size());
    const http::read_progress progress = this->reader.put(bytes);
    if (this->awaiting_response || this->waits_for_caller) {
        if (this->reader.waiting_bytes() > max_waiting_bytes ||
            !this->reserve()) {
            this->ignores_input = true;
            this->closing = true;
            this->reader.discard_waiting();
            this->update_reservation();
        }
        return;
    }
    if (!this->reserve()) {
        this->events.on_memory_refused(this->id);
        return;
    }
    if (progress == http::read_progress::incomplete && !this->sent_continue &&
        this->reader.expects_continue()) {
        this->sent_continue = true;
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

/// Reserves memory for what was received and what was announced. Returns false
/// if there isn't enough.
bool caller_connection::reserve() {
    const std::size_t wanted = this->held_bytes();
    if (wanted > this->reserved_bytes) {
        const std::size_t added = wanted - this->reserved_bytes;
        const bool is_refused =
            !serving::fits(this->memory, added, wanted) &&
            !(this->events.make_room &&
              this->events.make_room(this->id, added, wanted));
        if (is_refused) {
            return false;
        }
    }
    this->update_reservation();
    return true;
}

std::size_t caller_connection::held_bytes() const {
    return connection_bytes + this->reader.held_bytes() +
           (this->stream == nullptr ? 0 : this->stream->copied_bytes());
}

void caller_connection::update_reservation() {
    this->reserved_bytes = this->held_bytes();
    this->reservation.set(this->reserved_bytes);
}

void caller_connection::note_progress(std::size_t bytes) {
    this->moved_bytes += bytes;
    if (this->moved_bytes >= progress_bytes) {
        this->moved_bytes = 0;
        this->progress_at = boot_clock::now();
    }
}

/// A request is handled only now: its caller may have left right after it.
void caller_connection::handle_read_all() {
    if (!this->awaiting_response && !this->waits_for_caller &&
        !this->awaiting_close) {
        this->read_next_request();
    }
}

/// Handles a request that was received behind an earlier one, unless its
/// caller has left since. Not before the event loop's next turn: the earlier
/// one may have been answered while it was being handled, and so may thousands
/// behind it.
void caller_connection::read_request_behind() {
    if (this->reader.progress() != http::read_progress::incomplete) {
        this->stream->read_later();
    }
}

/// Handles the next request if it is complete.
void caller_connection::read_next_request() {
    if (this->reader.progress() == http::read_progress::malformed) {
        this->refuse_malformed();
        return;
    }
    if (this->reader.progress() != http::read_progress::complete) {
        return;
    }
    http::received_request request = this->reader.take();
    request.body = serving::hold(request.body, this->memory);
    this->update_reservation();
    this->awaiting_response = true;
    this->keep_alive = request.keep_alive;
    this->head_only = request.method == "HEAD";
    this->sent_continue = false;
    this->events.on_request(this->id, std::move(request));
}

void caller_connection::refuse_malformed() {
    this->respond_unread(this->reader.refusal_status(), {});
}

void caller_connection::respond_unread(
    std::uint16_t status, const std::vector<http::header>& headers
) {
    if (this->stream == nullptr) {
        return;
    }
    this->ignores_input = true;
    this->closing = true;
    this->awaiting_close = true;
    this->waiting_since = boot_clock::now();
    // The connection stays for a while, but not what was received.
    this->reader.discard();
    this->stream->write(http::response_head(status, headers, 0, true));
    this->stream->end_writing();
    this->update_reservation();
}

void caller_connection::respond(
    std::uint16_t status,
    const std::vector<http::header>& headers,
    const shared_bytes& body,
    bool close
) {
    if (this->stream == nullptr) {
        return;
    }
    const bool close_after = close || this->closing || !this->keep_alive;
    this->write_body(
        http::response_head(status, headers, body.size(), close_after),
        this->head_only ? shared_bytes{} : body
    );
    this->awaiting_response = false;
    this->update_reservation();
    this->request_begun = this->reader.has_begun();
    this->waiting_since = boot_clock::now();
    this->progress_at = this->waiting_since;
    this->unsent_bytes = this->stream->unsent_bytes();
    if (close_after) {
        this->close_once_read();
        return;
    }
    if (this->stream->unsent_bytes() > max_unsent_bytes) {
        this->waits_for_caller = true;
        return;
    }
    this->read_request_behind();
}

void caller_connection::write_body(std::string head, const shared_bytes& body) {
    if (body.size() <= max_joined_body_bytes) {
        this->stream->write(head.append(body.view()));
        return;
    }
    this->stream->write(head);
    this->stream->write_shared(body);
}

/// The caller has read enough of its answers.
void caller_connection::handle_drained() {
    this->update_reservation();
    if (!this->waits_for_caller || this->stream == nullptr) {
        return;
    }
    this->waits_for_caller = false;
    this->waiting_since = boot_clock::now();
    if (this->closing) {
        this->close_once_read();
        return;
    }
    this->request_begun = this->reader.has_begun();
    this->read_request_behind();
}

/// Closes the connection when the kernel has its last answer. Until then the
/// process must not exit.
void caller_connection::close_once_read() {
    this->closing = true;
    this->waits_for_caller = this->stream->unsent_bytes() > 0;
    if (!this->waits_for_caller) {
        this->close_now();
    }
}

/// What is unsent is still sent, unless the process exits before.
void caller_connection::close_now() {
    this->stream->close();
    this->handle_closed();
}

void caller_connection::abort() {
    if (this->stream != nullptr) {
        this->stream->abort();
        this->handle_closed();
    }
}

void caller_connection::handle_closed() {
    this->stream = nullptr;
    this->events.on_closed(this->id);
}

void caller_connection::close_when_idle() {
    this->closing = true;
    if (this->is_idle() && this->stream != nullptr) {
        this->close_once_read();
    }
}

void caller_connection::check_timeouts(
    instant now, duration header_timeout, duration idle_timeout
) {
    if (this->stream == nullptr || this->awaiting_response) {
        return;
    }
    this->update_reservation();
    const std::size_t unsent = this->stream->unsent_bytes();
    this->note_progress(
        this->unsent_bytes - std::min(unsent, this->unsent_bytes)
    );
    this->unsent_bytes = unsent;
    const duration elapsed = now - this->waiting_since;
    if (this->awaiting_close) {
        if (elapsed > close_timeout) {
            this->close_now();
        }
        return;
    }
    const bool is_moving = unsent > 0 || this->reader.in_body();
    const bool too_slow = !this->waits_for_caller && this->reader.has_begun() &&
                          elapsed > header_timeout && !this->reader.in_body();
    const bool too_idle =
        (is_moving ? now - this->progress_at : elapsed) > idle_timeout;
    if (too_slow || too_idle) {
        this->close_now();
    }
}

serving::caller_use caller_connection::use(instant now) const {
    using serving::caller_state;
    serving::caller_use result{this->id, caller_state::idle, 0, {}};
    result.bytes = this->reserved_bytes;
    result.stalled = now - this->progress_at;
    if (this->awaiting_response) {
        result.state = caller_state::waiting;
    } else if (this->awaiting_close) {
        result.state = caller_state::idle;
    } else if (this->has_unread_answers()) {
        result.state = caller_state::reading;
        result.bytes += this->stream->unsent_bytes();
    } else if (this->reader.has_begun()) {
        result.state = caller_state::sending;
    }
    return result;
}

bool caller_connection::has_unread_answers() const {
    return this->stream != nullptr && this->stream->unsent_bytes() > 0;
}

void caller_connection::set_limits(http::request_limits limits) {
    this->reader.set_limits(limits);
}

bool caller_connection::is_idle() const {
    return !this->awaiting_response && !this->reader.has_begun();
}

bool caller_connection::is_closed() const {
    return this->stream == nullptr;
}

} // namespace apricotstile::edge
