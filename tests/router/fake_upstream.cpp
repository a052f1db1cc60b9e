// Reads requests without a body and answers them.

#include <tests/router/fake_upstream.hpp>

#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <utility>

namespace apricotstile::tests {

namespace {

/// The value of the header `name` in the head of a request; empty if absent.
std::string header_in(const std::string& head, const std::string& name) {
    const std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string target_in(const std::string& head) {
    const std::size_t begin = head.find(' ') + 1;
    return head.substr(begin, head.find(' ', begin) - begin);
}

} // namespace

fake_upstream::fake_upstream(const std::string& id) : current_run{id, 1} {
    need_application();
    REQUIRE(this->server.listen(
        QHostAddress{this->listen_address.ip}, this->listen_address.port
    ));
    QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
        while (QTcpSocket* const connection =
                   this->server.nextPendingConnection()) {
            this->handle_connection(connection);
        }
    });
}

address fake_upstream::where() const {
    return this->listen_address;
}

const directory::instance_run& fake_upstream::run() const {
    return this->current_run;
}

bool fake_upstream::is_up() const {
    return this->server.isListening();
}

const std::vector<std::string>& fake_upstream::requests() const {
    return this->targets;
}

void fake_upstream::set_extra_headers(std::vector<http::header> headers) {
    this->extra_headers = std::move(headers);
}

void fake_upstream::set_large_body(std::string body) {
    this->large_body = std::move(body);
}

void fake_upstream::crash() {
    this->server.close();
    for (const QPointer<QTcpSocket>& one :
         std::exchange(this->connections, {})) {
        if (one) {
            one->abort();
            one->deleteLater();
        }
    }
}

void fake_upstream::restart() {
    ++this->current_run.started_ms;
    REQUIRE(this->server.listen(
        QHostAddress{this->listen_address.ip}, this->listen_address.port
    ));
}

void fake_upstream::handle_connection(QTcpSocket* connection) {
    this->connections.emplace_back(connection);
    QObject::connect(connection, &QTcpSocket::readyRead, [this, connection] {
        const std::string head = connection->readAll().toStdString();
        if (head.ends_with("\r\n\r\n")) {
            this->handle_request(connection, head);
        }
    });
}

void fake_upstream::handle_request(
    QTcpSocket* connection, const std::string& head
) {
    const std::string target = target_in(head);
    this->targets.push_back(target);
    if (target.find("crash") != std::string::npos) {
        this->crash();
        return;
    }
    if (target.find("hang") != std::string::npos) {
        return;
    }
    if (target.find("slow") != std::string::npos) {
        this->slow_requests.push_back({connection, head});
        return;
    }
    this->answer(connection, head);
}

void fake_upstream::answer_slow_requests() {
    for (const slow_request& one : std::exchange(this->slow_requests, {})) {
        if (one.connection) {
            this->answer(one.connection, one.head);
        }
    }
}

void fake_upstream::answer(QTcpSocket* connection, const std::string& head)
    const {
    const std::string target = target_in(head);
    const bool is_large = target.find("large") != std::string::npos;
    const std::string body = is_large ? this->large_body : std::string{};
    std::string bytes = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) +
                        "\r\nRequest-Id: " + header_in(head, "Request-Id") +
                        "\r\n";
    for (const http::header& one : this->extra_headers) {
        bytes += one.name + ": " + one.value + "\r\n";
    }
    connection->write(QByteArray::fromStdString(bytes + "\r\n" + body));
}

} // namespace apricotstile::tests
