// Guards against requests that are executed twice because the HTTP client
// resends them: the server closes the connection without a response, on a new
// connection and on a reused one. Also against reporting a request as sent
// although the connection was refused.

#include <apricotstile/http/client_connection.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>

#include <optional>
#include <string>

using namespace apricotstile;
using namespace apricotstile::http;
using apricotstile::tests::need_application;
using apricotstile::tests::wait_until;

namespace {

/// Responds to the first `responses` requests and closes the connection on each
/// later one without a response, so that a connection may also be lost after it
/// was reused.
struct closing_server {
    QTcpServer listener;
    int responses{0};
    int received_requests{0};
    bool marker_received{false};

    explicit closing_server(int response_count) : responses(response_count) {
        need_application();
        REQUIRE(this->listener.listen(QHostAddress::LocalHost));
        QObject::connect(
            &this->listener,
            &QTcpServer::newConnection,
            &this->listener,
            [this] {
                this->accept();
            }
        );
    }

    void accept() {
        QTcpSocket* const socket = this->listener.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [=, this] {
            this->handle_request(*socket);
        });
    }

    /// The requests are so short that each arrives in one piece.
    void handle_request(QTcpSocket& socket) {
        const QByteArray bytes = socket.readAll();
        if (bytes.startsWith("GET /last")) {
            this->marker_received = true;
            return;
        }
        ++this->received_requests;
        if (this->received_requests <= this->responses) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else {
            socket.abort();
        }
    }

    [[nodiscard]] address server_address() const {
        return {
            QHostAddress{QHostAddress::LocalHost}.toIPv4Address(),
            this->listener.serverPort()};
    }
};

http_request get_request() {
    http_request request;
    request.method = "GET";
    request.path = "/work";
    return request;
}

exchange_failure exchange_outcome(client_connection& connection) {
    std::optional<exchange_result> result;
    connection.start(get_request(), [&result](exchange_result&& ended) {
        result = std::move(ended);
    });
    REQUIRE(wait_until([&result] {
        return result.has_value();
    }));
    return result->failure;
}

/// Sends a marker request and waits for it; a resent request arrives earlier.
void wait_for_earlier_requests(closing_server& server) {
    QTcpSocket marker;
    marker.connectToHost(QHostAddress::LocalHost, server.listener.serverPort());
    marker.write("GET /last HTTP/1.1\r\n\r\n");
    REQUIRE(wait_until([&server] {
        return server.marker_received;
    }));
}

/// Number of requests that the server receives if Qt's client is asked to send
/// `request_count`.
int requests_received_from_qt(closing_server& server, int request_count) {
    QNetworkAccessManager manager;
    const QUrl url{
        QString{"http://127.0.0.1:%1/work"}.arg(server.listener.serverPort())};
    for (int sent = 0; sent < request_count; ++sent) {
        QNetworkReply* const reply = manager.get(QNetworkRequest{url});
        REQUIRE(wait_until([reply] {
            return reply->isFinished();
        }));
        delete reply;
    }
    wait_for_earlier_requests(server);
    return server.received_requests;
}

} // namespace

TEST_CASE("a request whose connection is lost is sent once", "[http]") {
    closing_server server{0};
    client_connection connection{server.server_address()};
    REQUIRE(exchange_outcome(connection) == exchange_failure::lost);
    wait_for_earlier_requests(server);
    REQUIRE(server.received_requests == 1);
    REQUIRE_FALSE(connection.is_reusable());
}

TEST_CASE("a request on a reused connection is sent once", "[http]") {
    closing_server server{1};
    client_connection connection{server.server_address()};
    REQUIRE(exchange_outcome(connection) == exchange_failure::none);
    REQUIRE(connection.is_reusable());
    REQUIRE(exchange_outcome(connection) == exchange_failure::lost);
    wait_for_earlier_requests(server);
    REQUIRE(server.received_requests == 2);
}

TEST_CASE("a request to a closed port isn't sent", "[http]") {
    closing_server server{0};
    const address server_address = server.server_address();
    server.listener.close();
    client_connection connection{server_address};
    REQUIRE(exchange_outcome(connection) == exchange_failure::not_sent);
    REQUIRE(server.received_requests == 0);
}

TEST_CASE("resent requests of Qt's own client are recorded", "[http]") {
    // Records how often QNetworkAccessManager resends; that is the reason for
    // `client_connection`, so nothing is required here.
    closing_server fresh{0};
    WARN(
        "new connection: 1 sent, " << requests_received_from_qt(fresh, 1)
                                   << " received"
    );
    closing_server kept{1};
    WARN(
        "reused connection: 2 sent, " << requests_received_from_qt(kept, 2)
                                      << " received"
    );
}
