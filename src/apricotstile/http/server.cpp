// Implements asynchronous responses, pipelining, size limits and idle timeouts.

#include <apricotstile/http/server.hpp>

#include <apricotstile/http/internal/guarded_listener.hpp>
#include <apricotstile/http/method_name.hpp>

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QUrl>

#include <fmt/format.h>

#include <chrono>
#include <stdexcept>

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

http_request copied(const QHttpServerRequest& request) {
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
    for (auto& [socket, where] : this->connections) {
        socket->disconnect(this);
    }
}

void server::listen_on(const address& where) {
    this->listener = std::make_unique<internal::guarded_listener>(
        this->limits.max_connections,
        this->limits.max_request_bytes + spare_buffer_bytes,
        [this](QTcpSocket& socket) {
            this->bytes_arrived(socket);
        }
    );
    if (!this->listener->listen(QHostAddress{where.ip}, where.port)) {
        throw std::runtime_error{fmt::format(
            "can't listen on {}: {}",
            to_string(where),
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
    for (auto& [socket, where] : this->connections) {
        if (where.current == exchange_id{} && where.partial_bytes == 0) {
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
                this->forget(key);
            }
        );
        // Connected after the slot of Qt's HTTP server, so it runs after it.
        QObject::connect(
            &socket,
            &QTcpSocket::readyRead,
            this,
            [this, key = &socket] {
                this->after_read(*key);
            }
        );
    }
    return found->second;
}

void server::bytes_arrived(QTcpSocket& socket) {
    connection& where = this->connection_of(socket);
    const auto available = static_cast<std::size_t>(socket.bytesAvailable());
    where.partial_bytes += available - std::min(available, where.left_bytes);
    where.last_active_tick = this->tick;
    if (where.partial_bytes > this->limits.max_request_bytes &&
        !where.refused) {
        ++this->counted.refused_too_large;
        this->refuse(where, status_too_large);
    }
}

void server::after_read(QTcpSocket& socket) {
    const auto found = this->connections.find(&socket);
    if (found != this->connections.end()) {
        found->second.left_bytes =
            static_cast<std::size_t>(socket.bytesAvailable());
    }
}

void server::forget(QTcpSocket* socket) {
    const auto found = this->connections.find(socket);
    if (found == this->connections.end()) {
        return;
    }
    const exchange_id current = found->second.current;
    if (found->second.partial_bytes > 0 && !found->second.refused) {
        ++this->counted.incomplete;
    }
    this->connections.erase(found);
    if (current != exchange_id{}) {
        this->waiting.erase(current);
        ++this->counted.hung_up;
        this->on_cancel(current);
    }
}

void server::refuse(connection& where, std::uint16_t status) {
    where.refused = true;
    http_response response;
    response.status = status;
    response.close = true;
    where.socket->write(QByteArray::fromStdString(to_wire(response)));
    where.socket->disconnectFromHost();
}

bool server::handleRequest(
    const QHttpServerRequest& request, QTcpSocket* socket
) {
    connection& where = this->connection_of(*socket);
    if (where.refused) {
        return true;
    }
    where.partial_bytes = 0;
    where.last_active_tick = this->tick;
    if (where.current == exchange_id{}) {
        this->start(where, copied(request));
        return true;
    }
    if (where.pipelined.size() >= this->limits.max_pipelined) {
        ++this->counted.refused_pipelined;
        this->refuse(where, status_unavailable);
        return true;
    }
    where.pipelined.push_back(copied(request));
    return true;
}

void server::missingHandler(
    const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/
) {}

void server::start(connection& where, http_request&& request) {
    ++this->counted.requests;
    this->last_exchange = next(this->last_exchange);
    const exchange_id exchange = this->last_exchange;
    where.current = exchange;
    this->waiting.emplace(exchange, where.socket.data());
    this->on_request(exchange, std::move(request));
}

void server::reply(exchange_id exchange, http_response response) {
    const auto found = this->waiting.find(exchange);
    if (found == this->waiting.end()) {
        return;
    }
    QTcpSocket* const socket = found->second;
    this->waiting.erase(found);
    connection& where = this->connections.at(socket);
    where.current = exchange_id{};
    where.last_active_tick = this->tick;
    response.close = response.close || this->stopping;
    socket->write(QByteArray::fromStdString(to_wire(response)));
    if (response.close) {
        where.refused = true;
        socket->disconnectFromHost();
        return;
    }
    if (!where.pipelined.empty()) {
        http_request waiting_request = std::move(where.pipelined.front());
        where.pipelined.pop_front();
        this->start(where, std::move(waiting_request));
    }
}

void server::close_idle() {
    ++this->tick;
    std::vector<QTcpSocket*> stale;
    for (auto& [socket, where] : this->connections) {
        const std::uint64_t quiet = this->tick - where.last_active_tick;
        const bool partial = where.partial_bytes > 0;
        const std::uint64_t allowed =
            partial ? partial_request_ticks : idle_connection_ticks;
        if (where.current == exchange_id{} && quiet > allowed) {
            stale.push_back(socket);
        }
    }
    for (QTcpSocket* const socket : stale) {
        ++this->counted.closed_idle;
        connection& where = this->connections.at(socket);
        if (where.partial_bytes > 0) {
            this->refuse(where, status_request_timeout);
        } else {
            socket->disconnectFromHost();
        }
    }
}

const server_counters& server::counters() const {
    return this->counted;
}

std::size_t server::open_connections() const {
    return this->listener == nullptr ? 0 : this->listener->open_connections();
}

std::size_t server::waiting_exchanges() const {
    return this->waiting.size();
}

} // namespace apricotstile::http
