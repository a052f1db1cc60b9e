// Implements asynchronous responses, pipelining, size limits and idle timeouts.

#include <apricotstile/http/server.hpp>

#include <apricotstile/http/internal/bounded_listener.hpp>
#include <apricotstile/http/method_name.hpp>

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QUrl>

#include <fmt/format.h>

#include <chrono>
#include <stdexcept>
#include <sys/socket.h>

namespace apricotstile::http {

namespace {

using namespace std::chrono_literals;

constexpr auto idle_check_interval = 1s;
/// Timeouts in multiples of `idle_check_interval`.
constexpr std::uint64_t partial_request_ticks = 10;
constexpr std::uint64_t idle_connection_ticks = 120;

constexpr std::size_t spare_buffer_bytes = 65536;
constexpr std::uint16_t status_request_timeout = 408;
constexpr std::uint16_t status_too_large = 413;
constexpr std::uint16_t status_unavailable = 503;

/// Whether the client has closed the connection behind what was read. Qt
/// reports that only after the requests that were read.
bool has_left(const QTcpSocket& client) {
    char next_byte = 0;
    return recv(
               static_cast<int>(client.socketDescriptor()),
               &next_byte,
               1,
               MSG_PEEK | MSG_DONTWAIT
           ) == 0;
}

http_request to_http_request(const QHttpServerRequest& request) {
    http_request result;
    result.method = method_name(request.method());
    const QUrl url = request.url();
    result.path = url.path(QUrl::FullyEncoded).toStdString();
    result.query = url.query(QUrl::FullyEncoded).toStdString();
    for (const auto& [name, value] : request.headers()) {
        result.headers.push_back({name.toStdString(), value.toStdString()});
    }
    result.body = request.body().toStdString();
    return result;
}

} // namespace

server::server(
    server_limits bounds, request_handler request, cancel_handler cancel
)
    : limits(bounds), on_request(std::move(request)),
      on_cancel(std::move(cancel)) {
    this->idle_timer.setInterval(idle_check_interval);
    QObject::connect(&this->idle_timer, &QTimer::timeout, this, [this] {
        this->close_idle();
    });
}

server::~server() {
    // The sockets' signals must not reach a partly destroyed server.
    for (auto& [socket, conn] : this->connections) {
        socket->disconnect(this);
    }
}

void server::listen_on(const address& listen_address) {
    this->listener = std::make_unique<internal::bounded_listener>(
        this->limits.max_connections,
        this->limits.max_request_bytes + spare_buffer_bytes,
        [this](QTcpSocket& socket) {
            this->handle_bytes(socket);
        }
    );
    if (!this->listener->listen(
            QHostAddress{listen_address.ip}, listen_address.port
        )) {
        throw std::runtime_error{fmt::format(
            "can't listen on {}: {}",
            to_string(listen_address),
            this->listener->errorString().toStdString()
        )};
    }
    this->bind(this->listener.get());
    this->idle_timer.start();
}

void server::stop_listening() {
    this->stopping = true;
    if (this->listener != nullptr) {
        this->listener->close();
    }
    std::vector<QTcpSocket*> idle;
    for (auto& [socket, conn] : this->connections) {
        if (conn.current_exchange == exchange_id{} &&
            conn.partial_request_bytes == 0) {
            idle.push_back(socket);
        }
    }
    for (QTcpSocket* const socket : idle) {
        socket->disconnectFromHost();
    }
}

server::connection& server::connection_of(QTcpSocket& socket) {
    const auto [found, added] = this->connections.try_emplace(&socket);
    if (added) {
        found->second.socket = &socket;
        QObject::connect(
            &socket,
            &QTcpSocket::disconnected,
            this,
            [this, key = &socket] {
                this->handle_disconnected(key);
            }
        );
        // Connected after the slot of Qt's HTTP server, so it runs after it.
        QObject::connect(
            &socket,
            &QTcpSocket::readyRead,
            this,
            [this, key = &socket] {
                this->record_unread_bytes(*key);
            }
        );
    }
    return found->second;
}

void server::handle_bytes(QTcpSocket& socket) {
    connection& conn = this->connection_of(socket);
    const auto available = static_cast<std::size_t>(socket.bytesAvailable());
    conn.partial_request_bytes +=
        available - std::min(available, conn.unread_bytes);
    conn.last_active_tick = this->tick;
    if (conn.partial_request_bytes > this->limits.max_request_bytes &&
        !conn.closing) {
        ++this->counts.refused_too_large;
        this->refuse(conn, status_too_large);
    }
}

void server::record_unread_bytes(QTcpSocket& socket) {
    const auto found = this->connections.find(&socket);
    if (found != this->connections.end()) {
        found->second.unread_bytes =
            static_cast<std::size_t>(socket.bytesAvailable());
    }
}

void server::handle_disconnected(QTcpSocket* socket) {
    const auto found = this->connections.find(socket);
    if (found == this->connections.end()) {
        return;
    }
    const exchange_id current_exchange = found->second.current_exchange;
    if (found->second.partial_request_bytes > 0 && !found->second.closing) {
        ++this->counts.incomplete;
    }
    this->connections.erase(found);
    if (current_exchange != exchange_id{}) {
        this->waiting.erase(current_exchange);
        ++this->counts.hung_up;
        this->on_cancel(current_exchange);
    }
}

void server::refuse(connection& conn, std::uint16_t status) {
    conn.closing = true;
    http_response response;
    response.status = status;
    response.close = true;
    conn.socket->write(QByteArray::fromStdString(to_wire(response)));
    conn.socket->disconnectFromHost();
}

bool server::handleRequest(
    const QHttpServerRequest& request, QTcpSocket* socket
) {
    connection& conn = this->connection_of(*socket);
    if (conn.closing) {
        return true;
    }
    conn.partial_request_bytes = 0;
    conn.last_active_tick = this->tick;
    if (conn.current_exchange == exchange_id{}) {
        this->start_exchange(conn, to_http_request(request));
        return true;
    }
    if (conn.pipelined.size() >= this->limits.max_pipelined) {
        ++this->counts.refused_pipelined;
        this->refuse(conn, status_unavailable);
        return true;
    }
    conn.pipelined.push_back(to_http_request(request));
    return true;
}

void server::missingHandler(
    const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/
) {}

void server::start_exchange(connection& conn, http_request&& request) {
    ++this->counts.requests;
    if (has_left(*conn.socket)) {
        ++this->counts.hung_up;
        return;
    }
    this->last_exchange = next(this->last_exchange);
    const exchange_id exchange = this->last_exchange;
    conn.current_exchange = exchange;
    this->waiting.emplace(exchange, conn.socket.data());
    this->on_request(exchange, std::move(request));
}

void server::reply(exchange_id exchange, http_response response) {
    const auto found = this->waiting.find(exchange);
    if (found == this->waiting.end()) {
        return;
    }
    QTcpSocket* const socket = found->second;
    this->waiting.erase(found);
    connection& conn = this->connections.at(socket);
    conn.current_exchange = exchange_id{};
    conn.last_active_tick = this->tick;
    response.close = response.close || this->stopping;
    socket->write(QByteArray::fromStdString(to_wire(response)));
    if (response.close) {
        conn.closing = true;
        socket->disconnectFromHost();
        return;
    }
    if (!conn.pipelined.empty()) {
        http_request next_request = std::move(conn.pipelined.front());
        conn.pipelined.pop_front();
        this->start_exchange(conn, std::move(next_request));
    }
}

void server::close_idle() {
    ++this->tick;
    std::vector<QTcpSocket*> stale;
    for (auto& [socket, conn] : this->connections) {
        const std::uint64_t idle_ticks = this->tick - conn.last_active_tick;
        const bool is_partial = conn.partial_request_bytes > 0;
        const std::uint64_t max_idle_ticks =
            is_partial ? partial_request_ticks : idle_connection_ticks;
        if (conn.current_exchange == exchange_id{} &&
            idle_ticks > max_idle_ticks) {
            stale.push_back(socket);
        }
    }
    for (QTcpSocket* const socket : stale) {
        ++this->counts.closed_idle;
        connection& conn = this->connections.at(socket);
        if (conn.partial_request_bytes > 0) {
            this->refuse(conn, status_request_timeout);
        } else {
            socket->disconnectFromHost();
        }
    }
}

const server_counters& server::counters() const {
    return this->counts;
}

std::size_t server::open_connections() const {
    return this->listener == nullptr ? 0 : this->listener->open_connections();
}

std::size_t server::waiting_exchanges() const {
    return this->waiting.size();
}

} // namespace apricotstile::http
