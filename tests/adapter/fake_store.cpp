// Answers the calls of one table client.

#include <tests/adapter/fake_store.hpp>

#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <QHostAddress>

#include <utility>

namespace apricotstile::tests {

namespace {

constexpr std::uint32_t loopback = 0x7F000001;
constexpr int status_ok = 200;

} // namespace

fake_store::fake_store() {
    need_application();
    REQUIRE(this->server.listen(QHostAddress::LocalHost));
    QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
        while (QTcpSocket* const connection =
                   this->server.nextPendingConnection()) {
            this->handle_connection(connection);
        }
    });
}

address fake_store::where() const {
    return {loopback, this->server.serverPort()};
}

std::size_t fake_store::feed_calls() const {
    return this->feeds;
}

std::string fake_store::last_feed_after() const {
    return this->feed_after;
}

std::size_t fake_store::table_reads() const {
    return this->followed_reads;
}

void fake_store::set_silent(bool value) {
    this->silent = value;
    this->waiting.clear();
}

void fake_store::fail_next_feed(int status) {
    this->next_feed_status = status;
}

void fake_store::restore_older(std::uint64_t older_version) {
    ++this->era;
    this->version = older_version;
    this->value.clear();
}

const std::vector<std::string>& fake_store::transactions() const {
    return this->transaction_bodies;
}

void fake_store::write_row(const std::string& base64_value) {
    ++this->version;
    this->value = base64_value;
    for (const QPointer<QTcpSocket>& one : std::exchange(this->waiting, {})) {
        if (one) {
            this->respond(one, status_ok, this->rows_body());
        }
    }
}

void fake_store::remove_row_and_history() {
    constexpr int status_gone = 410;
    ++this->version;
    this->value.clear();
    for (const QPointer<QTcpSocket>& one : std::exchange(this->waiting, {})) {
        if (one) {
            this->respond(one, status_gone, "{}");
        }
    }
}

void fake_store::set_commit_body(const std::string& body) {
    this->commit_body = body;
}

void fake_store::handle_connection(QTcpSocket* connection) {
    QObject::connect(connection, &QTcpSocket::readyRead, [this, connection] {
        this->handle_call(connection, connection->readAll().toStdString());
    });
}

void fake_store::handle_call(QTcpSocket* connection, const std::string& head) {
    const bool is_feed = head.find("/v1/rows-feed") != std::string::npos;
    if (is_feed) {
        ++this->feeds;
        const std::size_t after = head.find("after=") + 6;
        this->feed_after = head.substr(after, head.find('&', after) - after);
    }
    if (this->silent) {
        return;
    }
    if (head.find("/v1/rows-tx") != std::string::npos) {
        this->transaction_bodies.push_back(head);
        ++this->version;
        this->respond(
            connection,
            status_ok,
            this->commit_body.empty() ? this->rows_body() : this->commit_body
        );
        return;
    }
    if (!is_feed) {
        const bool is_followed =
            head.find("/v1/rows-get?table=t&") != std::string::npos;
        this->followed_reads += is_followed ? 1 : 0;
        this->respond(connection, status_ok, this->rows_body());
        return;
    }
    if (this->next_feed_status != 0) {
        this->respond(
            connection, std::exchange(this->next_feed_status, 0), "{}"
        );
    } else if (std::to_string(this->version) != this->feed_after) {
        this->respond(connection, status_ok, this->rows_body());
    } else {
        this->waiting.emplace_back(connection);
    }
}

void fake_store::respond(
    QTcpSocket* connection, int status, const std::string& body
) {
    connection->write(fmt::format(
                          "HTTP/1.1 {} X\r\nStore-Era: {}\r\n"
                          "Content-Length: {}\r\n\r\n{}",
                          status,
                          this->era,
                          body.size(),
                          body
    )
                          .c_str());
}

std::string fake_store::rows_body() const {
    const std::string row = fmt::format(
        R"({{"table":"t","part":"","key":"k","schemaVersion":{},"value":"{}"}})",
        this->version,
        this->value
    );
    return fmt::format(
        R"({{"rows":[{}],"hasMore":false,"schemaVersion":{}}})",
        this->value.empty() ? "" : row,
        this->version
    );
}

} // namespace apricotstile::tests
