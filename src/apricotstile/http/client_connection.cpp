// Sends requests through a Qt socket and parses responses with Boost.Beast.

#include <apricotstile/http/client_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include <optional>

namespace apricotstile::http {

namespace {

namespace beast_http = boost::beast::http;

using answer_parser = beast_http::response_parser<beast_http::string_body>;

constexpr std::uint64_t max_answer_bytes = 8U << 20U;

http_response converted(answer_parser::value_type&& message) {
    http_response result;
    result.status = static_cast<std::uint16_t>(message.result_int());
    result.content_type = std::string{message[beast_http::field::content_type]};
    for (const auto& field : message) {
        result.headers.push_back(
            {std::string{field.name_string()}, std::string{field.value()}}
        );
    }
    result.body = std::move(message.body());
    return result;
}

} // namespace

struct client_connection::state {
    address where;
    QTcpSocket socket;
    std::optional<answer_parser> parser;
    /// Received bytes that the parser hasn't consumed yet.
    std::string received;
    std::string to_send;
    done_handler done;
    bool sent{false};
    /// False once an exchange ended without a complete response or the
    /// connection must not be reused.
    bool healthy{true};
};

client_connection::client_connection(const address& where)
    : self(std::make_unique<state>()) {
    this->self->where = where;
    QTcpSocket& socket = this->self->socket;
    // Connection errors are queued, so that `start` never calls `done` itself.
    QObject::connect(&socket, &QTcpSocket::connected, this, [this] {
        this->self->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        this->self->sent = true;
        this->self->socket.write(QByteArray::fromStdString(this->self->to_send)
        );
    });
    QObject::connect(&socket, &QTcpSocket::readyRead, this, [this] {
        this->read_answer();
    });
    QObject::connect(
        &socket,
        &QTcpSocket::errorOccurred,
        this,
        [this] {
            this->connection_lost();
        },
        Qt::QueuedConnection
    );
    QObject::connect(
        &socket,
        &QTcpSocket::disconnected,
        this,
        [this] {
            this->connection_lost();
        },
        Qt::QueuedConnection
    );
}

client_connection::~client_connection() {
    this->self->socket.disconnect(this);
}

void client_connection::start(const http_request& request, done_handler done) {
    this->self->done = std::move(done);
    this->self->parser.emplace();
    this->self->parser->body_limit(max_answer_bytes);
    this->self->parser->eager(true);
    if (request.method == "HEAD") {
        this->self->parser->skip(true);
    }
    this->self->received.clear();
    this->self->to_send = to_wire(request, to_string(this->self->where));
    if (this->self->socket.state() == QAbstractSocket::ConnectedState) {
        this->self->sent = true;
        this->self->socket.write(QByteArray::fromStdString(this->self->to_send)
        );
        return;
    }
    this->self->sent = false;
    this->self->socket.connectToHost(
        QHostAddress{this->self->where.ip}, this->self->where.port
    );
}

void client_connection::abandon() {
    this->self->done = nullptr;
    this->self->healthy = false;
    this->self->socket.abort();
}

bool client_connection::reusable() const {
    return this->self->healthy && this->self->done == nullptr &&
           this->self->socket.state() == QAbstractSocket::ConnectedState;
}

void client_connection::read_answer() {
    this->self->received += this->self->socket.readAll().toStdString();
    if (!this->self->done) {
        // Data outside an exchange: the peer violates the protocol.
        this->abandon();
        return;
    }
    boost::system::error_code error;
    const std::size_t used = this->self->parser->put(
        boost::asio::buffer(this->self->received), error
    );
    this->self->received.erase(0, used);
    if (error && error != beast_http::error::need_more) {
        this->finish({exchange_failure::malformed, {}});
        return;
    }
    if (!this->self->parser->is_done()) {
        return;
    }
    const bool keep =
        this->self->parser->keep_alive() && this->self->received.empty();
    exchange_result result{
        exchange_failure::none, converted(this->self->parser->release())};
    this->self->healthy = this->self->healthy && keep;
    this->finish(std::move(result));
}

void client_connection::connection_lost() {
    this->self->healthy = false;
    if (!this->self->done) {
        return;
    }
    boost::system::error_code error;
    if (this->self->sent && this->self->parser->got_some()) {
        // A response without Content-Length ends when the connection closes.
        this->self->parser->put_eof(error);
        if (!error && this->self->parser->is_done()) {
            this->finish(
                {exchange_failure::none,
                 converted(this->self->parser->release())}
            );
            return;
        }
    }
    this->finish(
        {this->self->sent ? exchange_failure::lost : exchange_failure::not_sent,
         {}}
    );
}

void client_connection::finish(exchange_result&& result) {
    if (result.failure != exchange_failure::none) {
        this->self->healthy = false;
        this->self->socket.disconnect(this);
        this->self->socket.abort();
    }
    const done_handler done = std::move(this->self->done);
    this->self->done = nullptr;
    done(std::move(result));
}

} // namespace apricotstile::http
