// Input events of the connection monitor.

#ifndef APRICOTSTILE_UPSTREAM_CONNECTION_EVENT_HPP
#define APRICOTSTILE_UPSTREAM_CONNECTION_EVENT_HPP

#include <apricotstile/upstream/monitored_connection.hpp>

#include <variant>

namespace apricotstile::upstream {

struct connection_opened {
    connection_id connection;
    address_id address;
    bool answers_pings{false};
};

/// The connection was closed by the other end or broke; its requests fail.
struct connection_closed {
    connection_id connection;
};

/// A request was sent on the connection.
struct exchange_started {
    connection_id connection;
    work_id work;
    bool idempotent{true};
    instant deadline;
    /// Usual duration of such requests; zero if unknown.
    duration expected_duration{0};
};

/// The complete response has arrived.
struct exchange_ended {
    connection_id connection;
    work_id work;
};

/// Bytes have arrived.
struct traffic_seen {
    connection_id connection;
};

/// The probe on the new connection was answered. `connection` is the
/// connection under suspicion.
struct probe_answered {
    connection_id connection;
};

/// The new connection was refused or broke. `connection` is the connection
/// under suspicion.
struct probe_failed {
    connection_id connection;
};

struct timer_expired {};

using connection_event = std::variant<
    connection_opened,
    connection_closed,
    exchange_started,
    exchange_ended,
    traffic_seen,
    probe_answered,
    probe_failed,
    timer_expired>;

} // namespace apricotstile::upstream

#endif
