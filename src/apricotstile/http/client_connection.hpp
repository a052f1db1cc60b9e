// One connection to an HTTP server that carries one exchange at a time.
// QNetworkAccessManager isn't used here: it sends a request again by itself
// when the connection is lost, which could run work twice.

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
    /// No byte of the request left this host: it certainly didn't arrive.
    not_sent,
    /// The connection ended before the whole answer; it may have run.
    lost,
    /// No whole answer in the time allowed; it may still run.
    timed_out,
    /// The answer was malformed or too large.
    malformed
};

struct exchange_result {
    exchange_failure failure{exchange_failure::none};
    /// The whole answer when `failure` is `none`.
    http_response response;
};

class client_connection : public QObject {
public:
    using done_handler = std::function<void(exchange_result&&)>;

    explicit client_connection(const address& where);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() override;

    /// Sends `request` and calls `done` once. Must not be called while an
    /// exchange is unfinished.
    void start(const http_request& request, done_handler done);
    /// Closes the connection without calling `done`.
    void abandon();
    /// Whether another exchange may use this connection.
    [[nodiscard]] bool reusable() const;

private:
    struct state;

    void read_answer();
    void connection_lost();
    void finish(exchange_result&& result);

    std::unique_ptr<state> self;
};

} // namespace apricotstile::http

#endif
