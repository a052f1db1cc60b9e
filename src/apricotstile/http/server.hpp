// An asynchronous HTTP/1.1 server based on Qt's HTTP server: a response may be
// sent after the request handler has returned.

#ifndef APRICOTSTILE_HTTP_SERVER_HPP
#define APRICOTSTILE_HTTP_SERVER_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/message.hpp>

#include <QAbstractHttpServer>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace apricotstile::http {

namespace internal {
class bounded_listener;
}

/// Identifies a request and its response; never reused.
using exchange_id = strong_id<struct exchange_id_tag, std::uint64_t>;

struct server_limits {
    std::size_t max_connections{4096};
    /// Limit for request line, headers and body together.
    std::size_t max_request_bytes{1U << 20U};
    /// Requests of one connection that wait for the response to an earlier one.
    std::size_t max_pipelined{8};
};

struct server_counters {
    std::uint64_t requests{0};
    std::uint64_t refused_too_large{0};
    std::uint64_t refused_pipelined{0};
    std::uint64_t closed_idle{0};
    std::uint64_t hung_up{0};
    /// Connections that ended within a partial or malformed request.
    std::uint64_t incomplete{0};
};

class server : public QAbstractHttpServer {
public:
    using request_handler = std::function<void(exchange_id, http_request&&)>;
    using cancel_handler = std::function<void(exchange_id)>;

    /// `on_request` runs for each complete request; `reply` sends the response,
    /// immediately or later. `on_cancel` runs if the client disconnects before
    /// that.
    server(
        server_limits limits,
        request_handler on_request,
        cancel_handler on_cancel
    );
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() override;

    /// Throws `std::runtime_error` if listening fails.
    void listen_on(const address& listen_address);
    /// Stops accepting connections and closes idle ones; the others close after
    /// their next response.
    void stop_listening();
    /// Sends the response of an exchange; ignored if the client has
    /// disconnected.
    void reply(exchange_id exchange, http_response response);

    [[nodiscard]] const server_counters& counters() const;
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::size_t waiting_exchanges() const;

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
        override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket)
        override;

private:
    struct connection {
        QPointer<QTcpSocket> socket;
        /// The exchange in progress; zero if there is none.
        exchange_id current_exchange;
        std::deque<http_request> pipelined;
        /// Bytes received since the last complete request.
        std::size_t partial_request_bytes{0};
        /// Bytes that Qt's HTTP server left in the socket's buffer.
        std::size_t unread_bytes{0};
        std::uint64_t last_active_tick{0};
        bool closing{false};
    };

    connection& connection_of(QTcpSocket& socket);
    void handle_bytes(QTcpSocket& socket);
    void record_unread_bytes(QTcpSocket& socket);
    void handle_disconnected(QTcpSocket* socket);
    void start_exchange(connection& conn, http_request&& request);
    void refuse(connection& conn, std::uint16_t status);
    void close_idle();

    server_limits limits;
    request_handler on_request;
    cancel_handler on_cancel;
    std::unique_ptr<internal::bounded_listener> listener;
    std::unordered_map<QTcpSocket*, connection> connections;
    /// The connection of each exchange that waits for its response.
    std::unordered_map<exchange_id, QTcpSocket*> waiting;
    exchange_id last_exchange;
    server_counters counts;
    QTimer idle_timer;
    std::uint64_t tick{0};
    bool stopping{false};
};

} // namespace apricotstile::http

#endif
