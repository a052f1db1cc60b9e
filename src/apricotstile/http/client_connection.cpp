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

using response_parser = beast_http::response_parser<beast_http::string_body>;

constexpr std::uint64_t max_response_bytes = 8U << 20U;

http_response to_http_response(response_parser::value_type&& message) {
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

struct client_connection::implementation {
    address server_address;
    QTcpSocket socket;
    std::optional<response_parser> parser;
    /// Received bytes that the parser hasn't consumed yet.
    std::string received;
    std::string serialized_request;
    done_handler done;
    bool request_sent{false};
    /// False once an exchange ended without a complete response or the
    /// connection must not be reused.
    bool healthy{true};
};

client_connection::client_connection(const address& server_address)
    : impl(std::make_unique<implementation>()) {
    this->impl->server_address = server_address;
    QTcpSocket& socket = this->impl->socket;
    // Connection errors are queued, so that `start` never calls `done` itself.
    QObject::connect(&socket, &QTcpSocket::connected, this, [this] {
        this->impl->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        this->impl->request_sent = true;
        this->impl->socket.write(
            QByteArray::fromStdString(this->impl->serialized_request)
        );
    });
    QObject::connect(&socket, &QTcpSocket::readyRead, this, [this] {
        this->read_response();
    });
    QObject::connect(
        &socket,
        &QTcpSocket::errorOccurred,
        this,
        [this] {
            this->handle_connection_lost();
        },
        Qt::QueuedConnection
    );
    QObject::connect(
        &socket,
        &QTcpSocket::disconnected,
        this,
        [this] {
            this->handle_connection_lost();
        },
        Qt::QueuedConnection
    );
}

client_connection::~client_connection() {
    this->impl->socket.disconnect(this);
}

void client_connection::start(const http_request& request, done_handler done) {
    this->impl->done = std::move(done);
    this->impl->parser.emplace();
    this->impl->parser->body_limit(max_response_bytes);
    this->impl->parser->eager(true);
    if (request.method == "HEAD") {
        this->impl->parser->skip(true);
    }
    this->impl->received.clear();
    this->impl->serialized_request =
        to_wire(request, to_string(this->impl->server_address));
    if (this->impl->socket.state() == QAbstractSocket::ConnectedState) {
        this->impl->request_sent = true;
        this->impl->socket.write(
            QByteArray::fromStdString(this->impl->serialized_request)
        );
        return;
    }
    this->impl->request_sent = false;
    this->impl->socket.connectToHost(
        QHostAddress{this->impl->server_address.ip},
        this->impl->server_address.port
    );
}

void client_connection::abandon() {
    this->impl->done = nullptr;
    this->impl->healthy = false;
    this->impl->socket.abort();
}

bool client_connection::is_reusable() const {
    return this->impl->healthy && this->impl->done == nullptr &&
           this->impl->socket.state() == QAbstractSocket::ConnectedState;
}

void client_connection::read_response() {
    this->impl->received += this->impl->socket.readAll().toStdString();
    if (!this->impl->done) {
        // Data outside an exchange: the peer violates the protocol.
        this->abandon();
        return;
    }
    boost::system::error_code error;
    const std::size_t consumed = this->impl->parser->put(
        boost::asio::buffer(this->impl->received), error
    );
    this->impl->received.erase(0, consumed);
    if (error && error != beast_http::error::need_more) {
        this->finish({exchange_failure::malformed, {}});
        return;
    }
    if (!this->impl->parser->is_done()) {
        return;
    }
    if (!is_final_status(this->impl->parser->get().result_int())) {
        this->finish({exchange_failure::malformed, {}});
        return;
    }
    const bool keep =
        this->impl->parser->keep_alive() && this->impl->received.empty();
    exchange_result result{
        exchange_failure::none,
        to_http_response(this->impl->parser->release())};
    this->impl->healthy = this->impl->healthy && keep;
    this->finish(std::move(result));
}

void client_connection::handle_connection_lost() {
    this->impl->healthy = false;
    if (!this->impl->done) {
        return;
    }
    boost::system::error_code error;
    if (this->impl->request_sent && this->impl->parser->got_some()) {
        // A response without Content-Length ends when the connection closes.
        this->impl->parser->put_eof(error);
        if (!error && this->impl->parser->is_done()) {
            this->finish(
                {exchange_failure::none,
                 to_http_response(this->impl->parser->release())}
            );
            return;
        }
    }
    this->finish(
        {this->impl->request_sent ? exchange_failure::lost
                                  : exchange_failure::not_sent,
         {}}
    );
}

void client_connection::finish(exchange_result&& result) {
    if (result.failure != exchange_failure::none) {
        this->impl->healthy = false;
        this->impl->socket.disconnect(this);
        this->impl->socket.abort();
    }
    const done_handler done = std::move(this->impl->done);
    this->impl->done = nullptr;
    done(std::move(result));
}

} // namespace apricotstile::http
