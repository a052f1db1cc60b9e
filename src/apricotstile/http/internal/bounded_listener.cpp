// Accepts connections up to a limit and reports received data.

#include <apricotstile/http/internal/guarded_listener.hpp>

#include <QTcpSocket>

namespace apricotstile::http::internal {

guarded_listener::guarded_listener(
    std::size_t max_connections,
    std::size_t buffer_bytes,
    std::function<void(QTcpSocket&)> on_bytes
)
    : most(max_connections), buffered(buffer_bytes),
      bytes_arrived(std::move(on_bytes)) {
    this->setMaxPendingConnections(static_cast<int>(max_connections));
}

std::size_t guarded_listener::open_connections() const {
    return this->open;
}

std::size_t guarded_listener::refused_connections() const {
    return this->refused;
}

void guarded_listener::incomingConnection(qintptr descriptor) {
    auto* const socket = new QTcpSocket{this};
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    if (this->open >= this->most) {
        ++this->refused;
        socket->abort();
        delete socket;
        return;
    }
    ++this->open;
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket->setReadBufferSize(static_cast<qint64>(this->buffered));
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this] {
        --this->open;
    });
    QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
        this->bytes_arrived(*socket);
    });
    this->addPendingConnection(socket);
}

} // namespace apricotstile::http::internal
