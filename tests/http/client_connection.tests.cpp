// A request is sent once, whatever becomes of the connection.

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

/// Reads each request and closes the connection instead of answering. The
/// first `answered` requests are answered, so that the loss meets a
/// connection that was kept open.
struct closing_server {
    QTcpServer listener;
    int answered{0};
    int seen{0};
    bool last_seen{false};

    explicit closing_server(int answered_first) : answered(answered_first) {
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
            this->take(*socket);
        });
    }

    /// The requests here are so short that they come in one piece.
    void take(QTcpSocket& socket) {
        const QByteArray bytes = socket.readAll();
        if (bytes.startsWith("GET /last")) {
            this->last_seen = true;
            return;
        }
        ++this->seen;
        if (this->seen <= this->answered) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else {
            socket.abort();
        }
    }

    [[nodiscard]] address where() const {
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

exchange_failure failure_of_exchange(client_connection& connection) {
    std::optional<exchange_result> result;
    connection.start(get_request(), [&result](exchange_result&& ended) {
        result = std::move(ended);
    });
    REQUIRE(wait_until([&result] {
        return result.has_value();
    }));
    return result->failure;
}

/// Lets a request that was sent again arrive before another one.
void settle(closing_server& server) {
    QTcpSocket last;
    last.connectToHost(QHostAddress::LocalHost, server.listener.serverPort());
    last.write("GET /last HTTP/1.1\r\n\r\n");
    REQUIRE(wait_until([&server] {
        return server.last_seen;
    }));
}

/// How many requests the server gets from Qt's own client for `wanted`.
int seen_from_qt(closing_server& server, int wanted) {
    QNetworkAccessManager manager;
    const QUrl url{
        QString{"http://127.0.0.1:%1/work"}.arg(server.listener.serverPort())};
    for (int sent = 0; sent < wanted; ++sent) {
        QNetworkReply* const reply = manager.get(QNetworkRequest{url});
        REQUIRE(wait_until([reply] {
            return reply->isFinished();
        }));
        delete reply;
    }
    settle(server);
    return server.seen;
}

} // namespace

TEST_CASE("a request whose connection is lost is sent once", "[http]") {
    closing_server server{0};
    client_connection connection{server.where()};
    REQUIRE(failure_of_exchange(connection) == exchange_failure::lost);
    settle(server);
    REQUIRE(server.seen == 1);
    REQUIRE_FALSE(connection.reusable());
}

TEST_CASE("a request on a kept connection is sent once", "[http]") {
    closing_server server{1};
    client_connection connection{server.where()};
    REQUIRE(failure_of_exchange(connection) == exchange_failure::none);
    REQUIRE(connection.reusable());
    REQUIRE(failure_of_exchange(connection) == exchange_failure::lost);
    settle(server);
    REQUIRE(server.seen == 2);
}

TEST_CASE("a request to a closed port isn't sent", "[http]") {
    closing_server server{0};
    const address where = server.where();
    server.listener.close();
    client_connection connection{where};
    REQUIRE(failure_of_exchange(connection) == exchange_failure::not_sent);
    REQUIRE(server.seen == 0);
}

TEST_CASE("how often Qt's own client sends is recorded", "[http]") {
    // Nothing is required of it: its figure is why this client exists.
    closing_server fresh{0};
    WARN("new connection: 1 wanted, " << seen_from_qt(fresh, 1) << " seen");
    closing_server kept{1};
    WARN("kept connection: 2 wanted, " << seen_from_qt(kept, 2) << " seen");
}
