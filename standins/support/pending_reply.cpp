// Writes replies only while the connection lives.

#include <standins/support/pending_reply.hpp>

#include <standins/support/http_message.hpp>

namespace apricotstile::standins {

pending_reply::pending_reply(QTcpSocket* connection, bool reply_without_body)
    : socket(connection), head_only(reply_without_body) {}

bool pending_reply::send(const http_reply& reply) const {
    QTcpSocket* const open = this->connection();
    if (open == nullptr) {
        return false;
    }
    const std::string bytes = to_bytes(reply, this->head_only);
    const auto size = static_cast<qint64>(bytes.size());
    return open->write(bytes.data(), size) == size;
}

void pending_reply::drop() const {
    QTcpSocket* const open = this->connection();
    if (open != nullptr) {
        open->abort();
    }
}

QTcpSocket* pending_reply::connection() const {
    QTcpSocket* const open = this->socket.data();
    const bool connected =
        open != nullptr && open->state() == QAbstractSocket::ConnectedState;
    return connected ? open : nullptr;
}

} // namespace apricotstile::standins
