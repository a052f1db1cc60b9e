// Guards against requests that exceed the server's limits, and against
// responses that are out of order or reach the wrong exchange when clients
// disconnect or pipeline requests. Uses loopback sockets.

#include <apricotstile/http/server.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::http;
using apricotstile::tests::need_application;
using apricotstile::tests::wait_until;

namespace {

constexpr std::size_t max_request_bytes = 600'000;

/// A loopback address whose port was unused when probed.
address free_address() {
    QTcpServer probe;
    REQUIRE(probe.listen(QHostAddress::LocalHost));
    return {
        QHostAddress{QHostAddress::LocalHost}.toIPv4Address(),
        probe.serverPort()};
}

struct running_server {
    std::vector<std::pair<exchange_id, http_request>> requests;
    std::vector<exchange_id> cancelled;
    address where;
    server tested{
        {.max_request_bytes = max_request_bytes},
        [this](exchange_id exchange, http_request&& request) {
            this->requests.emplace_back(exchange, std::move(request));
        },
        [this](exchange_id exchange) {
            this->cancelled.push_back(exchange);
        }};

    running_server() {
        need_application();
        this->where = free_address();
        this->tested.listen_on(this->where);
    }

    void answer(std::size_t index, const std::string& body) {
        http_response response;
        response.body = body;
        this->tested.reply(this->requests.at(index).first, response);
    }
};

struct caller {
    QTcpSocket socket;
    std::string received;

    explicit caller(const address& where) {
        this->socket.connectToHost(QHostAddress{where.ip}, where.port);
        REQUIRE(wait_until([this] {
            return this->socket.state() == QAbstractSocket::ConnectedState;
        }));
    }

    void send(const std::string& bytes) {
        this->socket.write(QByteArray::fromStdString(bytes));
    }

    bool receives(const std::string& text) {
        return wait_until([this, &text] {
            this->received += this->socket.readAll().toStdString();
            return this->received.find(text) != std::string::npos;
        });
    }

    bool is_closed_by_peer() {
        return wait_until([this] {
            this->received += this->socket.readAll().toStdString();
            return this->socket.state() == QAbstractSocket::UnconnectedState;
        });
    }
};

std::string post(const std::string& path, std::size_t body_bytes) {
    return "POST " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x');
}

} // namespace

TEST_CASE("a body within the limit is passed on complete", "[http]") {
    running_server at;
    caller from{at.where};
    constexpr std::size_t body_bytes = 500'000;
    from.send(post("/large", body_bytes));
    REQUIRE(wait_until([&at] {
        return !at.requests.empty();
    }));
    REQUIRE(at.requests[0].second.body.size() == body_bytes);
    at.answer(0, "taken");
    REQUIRE(from.receives("taken"));
    REQUIRE(from.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a body over the limit is refused", "[http]") {
    running_server at;
    caller from{at.where};
    from.send(post("/too-large", max_request_bytes + 1));
    REQUIRE(from.receives("HTTP/1.1 413"));
    REQUIRE(from.is_closed_by_peer());
    REQUIRE(at.requests.empty());
    REQUIRE(at.tested.counters().refused_too_large == 1);
}

TEST_CASE("a client that disconnects cancels its request", "[http]") {
    running_server at;
    {
        caller from{at.where};
        from.send(post("/slow", 1));
        REQUIRE(wait_until([&at] {
            return !at.requests.empty();
        }));
        from.socket.abort();
    }
    REQUIRE(wait_until([&at] {
        return !at.cancelled.empty();
    }));
    REQUIRE(at.cancelled[0] == at.requests[0].first);
    // The late response is discarded.
    at.answer(0, "late");
    REQUIRE(at.tested.waiting_exchanges() == 0);
    // The server still serves other clients.
    caller other{at.where};
    other.send(post("/next", 1));
    REQUIRE(wait_until([&at] {
        return at.requests.size() == 2;
    }));
    at.answer(1, "next");
    REQUIRE(other.receives("next"));
}

TEST_CASE("pipelined requests are processed in order", "[http]") {
    running_server at;
    caller from{at.where};
    from.send(post("/0", 10) + post("/1", 10) + post("/2", 10));
    for (std::size_t index = 0; index < 3; ++index) {
        REQUIRE(wait_until([&at, index] {
            return at.requests.size() > index;
        }));
        const std::string number = std::to_string(index);
        REQUIRE(at.requests[index].second.path == "/" + number);
        REQUIRE(at.requests.size() == index + 1);
        at.answer(index, "answer-" + number);
        REQUIRE(from.receives("answer-" + number));
    }
}

TEST_CASE("a connection with a malformed request is closed", "[http]") {
    running_server at;
    caller from{at.where};
    from.send("\x01\x02 this is not a request\r\n\r\n");
    REQUIRE(from.is_closed_by_peer());
    REQUIRE(at.requests.empty());
}
