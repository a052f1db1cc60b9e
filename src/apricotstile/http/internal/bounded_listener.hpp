// A listener that limits the number of connections and the memory per
// connection. Qt's HTTP server accepts a body of any size, so the bytes of a
// request are counted on the socket before the server reads them.

#ifndef APRICOTSTILE_HTTP_INTERNAL_BOUNDED_LISTENER_HPP
#define APRICOTSTILE_HTTP_INTERNAL_BOUNDED_LISTENER_HPP

#include <QTcpServer>

#include <cstddef>
#include <functional>

class QTcpSocket;

namespace apricotstile::http::internal {

class bounded_listener : public QTcpServer {
public:
    /// `on_bytes` runs whenever data arrives, before the HTTP server reads it.
    /// Connections beyond `max_connections` are closed immediately. A socket
    /// buffers at most `buffer_bytes`, which must exceed the size of a whole
    /// request because the server reads a body in one piece.
    bounded_listener(
        std::size_t max_connections,
        std::size_t buffer_bytes,
        std::function<void(QTcpSocket&)> on_bytes
    );

    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::size_t refused_connections() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    std::size_t max_connections;
    std::size_t buffer_bytes;
    std::function<void(QTcpSocket&)> on_bytes;
    /// At most `max_connections`.
    std::size_t open_count{0};
    std::size_t refused_count{0};
};

} // namespace apricotstile::http::internal

#endif
