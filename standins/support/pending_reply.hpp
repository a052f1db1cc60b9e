// The place where the answer of one HTTP request goes, however late.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_PENDING_REPLY_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_PENDING_REPLY_HPP

#include <QPointer>
#include <QTcpSocket>

namespace apricotstile::standins {

struct http_reply;

class pending_reply {
public:
    pending_reply(QTcpSocket* connection, bool reply_without_body);

    /// Writes the whole reply. False when the caller has hung up.
    bool send(const http_reply& reply) const;

    /// Closes the connection without an answer.
    void drop() const;

    /// The connection, or null once it is gone.
    [[nodiscard]] QTcpSocket* connection() const;

private:
    QPointer<QTcpSocket> socket;
    bool head_only;
};

} // namespace apricotstile::standins

#endif
