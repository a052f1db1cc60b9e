// Turns Qt's requests into plain data and hands them to the handler.

#include <standins/support/http_service.hpp>

#include <apricotstile/host/address.hpp>
#include <apricotstile/http/method_name.hpp>

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QTcpSocket>
#include <QUrlQuery>

#include <stdexcept>

namespace apricotstile::standins {

namespace {

http_request to_plain(const QHttpServerRequest& request) {
    http_request plain;
    plain.method = http::method_name(request.method());
    plain.path = request.url().path(QUrl::FullyEncoded).toStdString();
    const auto parameters =
        QUrlQuery{request.url()}.queryItems(QUrl::FullyDecoded);
    for (const auto& [name, value] : parameters) {
        plain.query[name.toStdString()] = value.toStdString();
    }
    for (const auto& [name, value] : request.headers()) {
        plain.headers[name.toLower().toStdString()] = value.toStdString();
    }
    plain.body = request.body().toStdString();
    return plain;
}

} // namespace

http_service::http_service(handler handle_request)
    : on_request(std::move(handle_request)) {}

void http_service::listen_on(const std::string& address) {
    const auto parsed = parse_address(address);
    const bool listens =
        parsed && this->listen(QHostAddress{parsed->ip}, parsed->port) != 0;
    if (!listens) {
        throw std::runtime_error("can't listen on " + address);
    }
}

bool http_service::handleRequest(
    const QHttpServerRequest& request, QTcpSocket* socket
) {
    const bool head_only = request.method() == QHttpServerRequest::Method::Head;
    this->on_request(to_plain(request), pending_reply{socket, head_only});
    return true;
}

void http_service::missingHandler(
    const QHttpServerRequest& request, QTcpSocket* socket
) {
    // Never called, since handleRequest takes every request.
    Q_UNUSED(request)
    Q_UNUSED(socket)
}

} // namespace apricotstile::standins
