// An HTTP server whose answers may be given later, on Qt's HTTP server.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_HTTP_SERVICE_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_HTTP_SERVICE_HPP

#include <standins/support/http_message.hpp>
#include <standins/support/pending_reply.hpp>

#include <QAbstractHttpServer>

#include <functional>
#include <string>

namespace apricotstile::standins {

class http_service final : public QAbstractHttpServer {
public:
    using handler =
        std::function<void(const http_request&, const pending_reply&)>;

    explicit http_service(handler on_request);

    /// Listens on "ADDRESS:PORT"; throws std::runtime_error when it can't.
    void listen_on(const std::string& address);

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
        override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket)
        override;

private:
    handler on_request;
};

} // namespace apricotstile::standins

#endif
