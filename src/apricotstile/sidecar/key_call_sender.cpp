// Connections to the instance for calls that grant and release keys.

#include <apricotstile/sidecar/key_call_sender.hpp>

#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/stream.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::sidecar {

namespace {

using namespace std::chrono_literals;

constexpr duration open_timeout = 1s;
/// The instance responds to a release when its work on the keys has ended.
constexpr duration release_timeout = 5s;
/// A heartbeat that arrives sooner after a connection was opened may have been
/// sent by an earlier run.
constexpr duration min_connection_age = 20ms;
constexpr std::uint64_t max_response_bytes = 64U << 10U;
constexpr auto log_prefix = "key calls";

} // namespace

struct key_call_sender::connection {
    net::stream* stream{nullptr};
    http::response_reader reader{max_response_bytes};
    /// Set while a call is in progress.
    result_handler done;
    net::timer_id timeout;
    instant opened{instant::max()};
    /// Whether it leads to the run that sends heartbeats.
    bool leads_to_current_run{false};
    bool reusable{false};
};

key_call_sender::key_call_sender(
    const address& instance,
    net::timer_queue& timers,
    key_call_format format,
    duration grant_timeout
)
    : instance(instance), timers(timers), format(std::move(format)),
      grant_timeout(grant_timeout) {
    this->open_grant_connection(false);
}

key_call_sender::~key_call_sender() {
    this->abort_all();
}

void key_call_sender::handle_heartbeat() {
    if (this->grant_connection == nullptr) {
        this->open_grant_connection(false);
        return;
    }
    connection& conn = *this->grant_connection;
    if (conn.opened != instant::max() &&
        boot_clock::now() - conn.opened >= min_connection_age) {
        conn.leads_to_current_run = true;
    }
}

void key_call_sender::abort_all() {
    while (!this->connections.empty()) {
        connection& conn = *this->connections.back();
        this->timers.cancel(conn.timeout);
        conn.done = nullptr;
        this->close(conn);
    }
}

bool key_call_sender::can_send_grant() const {
    const connection* const conn = this->grant_connection;
    return conn != nullptr && conn->opened != instant::max() &&
           conn->leads_to_current_run && !conn->done;
}

void key_call_sender::send(const keys::grant_call& call, result_handler done) {
    this->begin(
        *this->grant_connection,
        http::to_wire(
            this->format.grant_request(call), to_string(this->instance)
        ),
        this->grant_timeout,
        std::move(done)
    );
}

void key_call_sender::send(
    const keys::release_call& call, result_handler done
) {
    this->begin(
        this->open_connection(),
        http::to_wire(
            this->format.release_request(call), to_string(this->instance)
        ),
        release_timeout,
        std::move(done)
    );
}

key_call_sender::connection& key_call_sender::open_connection() {
    auto added = std::make_unique<connection>();
    connection& result = *added;
    result.stream = new net::stream{this->instance, open_timeout};
    result.stream->on_open = [&result] {
        result.opened = boot_clock::now();
    };
    result.stream->on_data = [this, &result](std::string_view bytes) {
        this->handle_data(result, bytes);
    };
    result.stream->on_end = [this, &result](net::stream_end how) {
        this->handle_end(
            result,
            how == net::stream_end::orderly,
            how != net::stream_end::not_opened
        );
    };
    this->connections.push_back(std::move(added));
    return result;
}

void key_call_sender::open_grant_connection(bool leads_to_current_run) {
    connection& conn = this->open_connection();
    conn.leads_to_current_run = leads_to_current_run;
    conn.reusable = true;
    this->grant_connection = &conn;
}

void key_call_sender::begin(
    connection& conn,
    const std::string& bytes,
    duration timeout,
    result_handler done
) {
    conn.done = std::move(done);
    conn.reader.expect("POST");
    conn.timeout = this->timers.after(timeout, [this, &conn] {
        this->handle_end(conn, false, true);
    });
    conn.stream->write(bytes);
}

void key_call_sender::handle_data(connection& conn, std::string_view bytes) {
    if (!conn.done) {
        log::write(
            log::level::warning,
            log_prefix,
            "Closing a connection on which the instance sent an unexpected "
            "response."
        );
        this->handle_end(conn, false, true);
        return;
    }
    switch (conn.reader.put(bytes)) {
    case http::read_progress::incomplete:
        break;
    case http::read_progress::complete:
        this->handle_response(conn);
        break;
    case http::read_progress::malformed:
        log::write(
            log::level::warning,
            log_prefix,
            "The instance's response to a call is malformed."
        );
        this->handle_end(conn, false, true);
        break;
    }
}

void key_call_sender::handle_response(connection& conn) {
    const http::received_response response = conn.reader.take();
    const keys::call_result result = this->format.read_response(response);
    const bool is_grant_connection = &conn == this->grant_connection;
    const bool has_extra_bytes = conn.reader.has_unread_bytes();
    if (!conn.reusable || !response.keep_alive || has_extra_bytes) {
        this->timers.cancel(conn.timeout);
        const result_handler done = std::exchange(conn.done, nullptr);
        this->close(conn);
        if (is_grant_connection) {
            // The run that has just responded accepts this one too.
            this->open_grant_connection(!has_extra_bytes);
        }
        done(result);
        return;
    }
    this->finish(conn, result);
}

void key_call_sender::handle_end(
    connection& conn, bool orderly, bool was_open
) {
    if (conn.done && orderly &&
        conn.reader.put_end() == http::read_progress::complete) {
        this->handle_response(conn);
        return;
    }
    const result_handler done = std::exchange(conn.done, nullptr);
    const bool is_grant_connection = &conn == this->grant_connection;
    this->timers.cancel(conn.timeout);
    this->close(conn);
    // If it wasn't opened, the instance is down until its next heartbeat.
    if (is_grant_connection && was_open) {
        this->open_grant_connection(false);
    }
    if (done) {
        done(
            {was_open ? keys::call_outcome::no_response
                      : keys::call_outcome::not_sent,
             {}}
        );
    }
}

void key_call_sender::finish(
    connection& conn, const keys::call_result& result
) {
    this->timers.cancel(conn.timeout);
    const result_handler done = std::exchange(conn.done, nullptr);
    done(result);
}

/// Resets a connection and removes it.
void key_call_sender::close(connection& conn) {
    if (conn.stream != nullptr) {
        conn.stream->abort();
        conn.stream = nullptr;
    }
    if (&conn == this->grant_connection) {
        this->grant_connection = nullptr;
    }
    const auto found = std::find_if(
        this->connections.begin(),
        this->connections.end(),
        [&](const auto& one) {
            return one.get() == &conn;
        }
    );
    if (found == this->connections.end()) {
        return;
    }
    // Functions on the call stack may still use it.
    std::shared_ptr<connection> last{std::move(*found)};
    this->connections.erase(found);
    this->timers.after(0ms, [last] {});
}

} // namespace apricotstile::sidecar
