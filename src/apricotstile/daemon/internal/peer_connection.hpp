// One TCP connection to a peer daemon.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_PEER_CONNECTION_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_PEER_CONNECTION_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/daemon/internal/peer_presence.hpp>
#include <apricotstile/link/session.hpp>
#include <apricotstile/link/silence.hpp>

#include <QTcpSocket>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace apricotstile::daemon::internal {

struct peer_connection {
    /// Never reused, so a late answer can't meet another connection.
    std::uint64_t number{0};
    /// Set for connections that this side opened.
    host_id target;
    std::unique_ptr<QTcpSocket> socket;
    link::session session;
    /// Encoded frames that wait for the peer's hello; bounded.
    std::vector<std::string> waiting;
    /// Ids of the requests in `waiting`, which certainly were not sent.
    std::vector<request_id> waiting_requests;
    instant opened_at;
    instant last_received;
    /// Requests sent on this connection that have no answer yet.
    std::unordered_set<request_id> unanswered;
    /// Bulk control was sent and no byte has come since.
    bool owes_pong{false};
    link::silence silence;
    peer_presence presence;
};

} // namespace apricotstile::daemon::internal

#endif
