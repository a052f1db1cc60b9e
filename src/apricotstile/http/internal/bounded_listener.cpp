// Accepts connections up to a limit and reports received data.

#include <apricotstile/http/internal/bounded_listener.hpp>

#include <QTcpSocket>

namespace apricotstile::http::internal {

bounded_listener::bounded_listener(
    std::size_t max_connections,
    std::size_t buffer_bytes,
    std::function<void(QTcpSocket&)> on_bytes
)
    : max_connections(max_connections), buffer_bytes(buffer_bytes),
      on_bytes(std::move(on_bytes)) {
    this->setMaxPendingConnections(static_cast<int>(max_connections));
}

std::size_t bounded_listener::open_connections() const {
    return this->open_count;
}

std::size_t bounded_listener::refused_connections() const {
    return this->refused_count;
}

void bounded_listener::incomingConnection(qintptr descriptor) {
    auto* const socket = new QTcpSocket{this};
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    if (this->open_count >= this->max_connections) {
        ++this->refused_count;
        socket->abort();
        delete socket;
        return;
    }
    ++this->open_count;
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket->setReadBufferSize(static_cast<qint64>(this->buffer_bytes));
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this] {
        --this->open_count;
    });
    QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
        this->on_bytes(*socket);
    });
    this->addPendingConnection(socket);
}

} // namespace apricotstile::http::internal
