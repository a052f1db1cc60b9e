// Guards against requests that exceed the server's limits, and against
// responses that are out of order or reach the wrong exchange when clients
// disconnect or pipeline requests. Uses loopback sockets.

#include <apricotstile/http/server.hpp>
#include <tests/http/event_loop.hpp>
#include <tests/router/blocking_caller.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::http;
using apricotstile::tests::need_application;
using apricotstile::tests::unused_address;
using apricotstile::tests::wait_until;

namespace {

constexpr std::size_t max_request_bytes = 600'000;

struct test_server {
    std::vector<std::pair<exchange_id, http_request>> requests;
    std::vector<exchange_id> cancelled;
    address listen_address;
    server http_server{
        {.max_request_bytes = max_request_bytes},
        [this](exchange_id exchange, http_request&& request) {
            this->requests.emplace_back(exchange, std::move(request));
        },
        [this](exchange_id exchange) {
            this->cancelled.push_back(exchange);
        }};

    test_server() {
        need_application();
        this->listen_address = unused_address();
        this->http_server.listen_on(this->listen_address);
    }

    void respond(std::size_t index, const std::string& body) {
        http_response response;
        response.body = body;
        this->http_server.reply(this->requests.at(index).first, response);
    }
};

struct client {
    QTcpSocket socket;
    std::string received;

    explicit client(const address& server_address) {
        this->socket.connectToHost(
            QHostAddress{server_address.ip}, server_address.port
        );
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
    test_server fixture;
    client sender{fixture.listen_address};
    constexpr std::size_t body_bytes = 500'000;
    sender.send(post("/large", body_bytes));
    REQUIRE(wait_until([&fixture] {
        return !fixture.requests.empty();
    }));
    REQUIRE(fixture.requests[0].second.body.size() == body_bytes);
    fixture.respond(0, "taken");
    REQUIRE(sender.receives("taken"));
    REQUIRE(sender.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a body over the limit is refused", "[http]") {
    test_server fixture;
    client sender{fixture.listen_address};
    sender.send(post("/too-large", max_request_bytes + 1));
    REQUIRE(sender.receives("HTTP/1.1 413"));
    REQUIRE(sender.is_closed_by_peer());
    REQUIRE(fixture.requests.empty());
    REQUIRE(fixture.http_server.counters().refused_too_large == 1);
}

TEST_CASE("a client that disconnects cancels its request", "[http]") {
    test_server fixture;
    {
        client sender{fixture.listen_address};
        sender.send(post("/slow", 1));
        REQUIRE(wait_until([&fixture] {
            return !fixture.requests.empty();
        }));
        sender.socket.abort();
    }
    REQUIRE(wait_until([&fixture] {
        return !fixture.cancelled.empty();
    }));
    REQUIRE(fixture.cancelled[0] == fixture.requests[0].first);
    // The late response is discarded.
    fixture.respond(0, "late");
    REQUIRE(fixture.http_server.waiting_exchanges() == 0);
    // The server still serves other clients.
    client other{fixture.listen_address};
    other.send(post("/next", 1));
    REQUIRE(wait_until([&fixture] {
        return fixture.requests.size() == 2;
    }));
    fixture.respond(1, "next");
    REQUIRE(other.receives("next"));
}

TEST_CASE(
    "a request whose client left while the server was blocked isn't passed on",
    "[http][departed]"
) {
    test_server fixture;
    {
        apricotstile::tests::blocking_caller caller{fixture.listen_address};
        caller.send(post("/abandoned", 1));
    }
    client other{fixture.listen_address};
    other.send(post("/next", 1));
    REQUIRE(wait_until([&fixture] {
        return !fixture.requests.empty();
    }));
    REQUIRE(fixture.requests.front().second.path == "/next");
    REQUIRE(fixture.http_server.counters().hung_up == 1);
}

TEST_CASE("pipelined requests are processed in order", "[http]") {
    test_server fixture;
    client sender{fixture.listen_address};
    sender.send(post("/0", 10) + post("/1", 10) + post("/2", 10));
    for (std::size_t index = 0; index < 3; ++index) {
        REQUIRE(wait_until([&fixture, index] {
            return fixture.requests.size() > index;
        }));
        const std::string number = std::to_string(index);
        REQUIRE(fixture.requests[index].second.path == "/" + number);
        REQUIRE(fixture.requests.size() == index + 1);
        fixture.respond(index, "answer-" + number);
        REQUIRE(sender.receives("answer-" + number));
    }
}

TEST_CASE("a connection with a malformed request is closed", "[http]") {
    test_server fixture;
    client sender{fixture.listen_address};
    sender.send("\x01\x02 this is not a request\r\n\r\n");
    REQUIRE(sender.is_closed_by_peer());
    REQUIRE(fixture.requests.empty());
}
