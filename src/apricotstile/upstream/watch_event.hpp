// What happens on connections.

#ifndef APRICOTSTILE_UPSTREAM_WATCH_EVENT_HPP
#define APRICOTSTILE_UPSTREAM_WATCH_EVENT_HPP

#include <apricotstile/upstream/watched_connection.hpp>

#include <variant>

namespace apricotstile::upstream {

struct connection_opened {
    connection_id connection;
    path_id path;
    bool answers_pings{false};
};

/// The connection closed or broke by itself; its work is settled.
struct connection_closed {
    connection_id connection;
};

/// Work was sent on the connection.
struct exchange_started {
    connection_id connection;
    work_id work;
    bool idempotent{true};
    instant deadline;
    /// How long such work usually takes; zero when not known.
    duration expected{0};
};

/// The whole answer has come.
struct exchange_ended {
    connection_id connection;
    work_id work;
};

/// Bytes have come.
struct traffic_seen {
    connection_id connection;
};

/// The probe for the connection was answered on a new connection.
struct probe_answered {
    connection_id connection;
};

/// The new connection was refused or broke.
struct probe_failed {
    connection_id connection;
};

struct watch_ticked {};

using watch_event = std::variant<
    connection_opened,
    connection_closed,
    exchange_started,
    exchange_ended,
    traffic_seen,
    probe_answered,
    probe_failed,
    watch_ticked>;

} // namespace apricotstile::upstream

#endif
