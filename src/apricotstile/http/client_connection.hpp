// One client connection to an HTTP server, with one exchange at a time.
// QNetworkAccessManager isn't used because it silently resends a request when
// the connection is lost, which could execute the request twice.

#ifndef APRICOTSTILE_HTTP_CLIENT_CONNECTION_HPP
#define APRICOTSTILE_HTTP_CLIENT_CONNECTION_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/http/message.hpp>

#include <QObject>

#include <functional>
#include <memory>

namespace apricotstile::http {

enum class exchange_failure : std::uint8_t {
    none,
    /// Nothing was sent, so the server can't have executed the request.
    not_sent,
    /// The connection ended before the complete response; the request may have
    /// been executed.
    lost,
    /// No complete response within the time allowed; the request may still be
    /// executed.
    timed_out,
    /// The response was malformed or too large.
    malformed
};

struct exchange_result {
    exchange_failure failure{exchange_failure::none};
    /// The complete response if `failure` is `none`.
    http_response response;
};

class client_connection : public QObject {
public:
    using done_handler = std::function<void(exchange_result&&)>;

    explicit client_connection(const address& server_address);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() override;

    /// Sends `request` and calls `done` once, later, unless the exchange is
    /// abandoned. Must not be called while an exchange is in progress.
    void start(const http_request& request, done_handler done);
    /// Closes the connection without calling `done`.
    void abandon();
    /// Whether the connection is open and may carry another exchange.
    [[nodiscard]] bool is_reusable() const;

private:
    struct implementation;

    void read_response();
    void handle_connection_lost();
    void finish(exchange_result&& result);

    std::unique_ptr<implementation> impl;
};

} // namespace apricotstile::http

#endif
