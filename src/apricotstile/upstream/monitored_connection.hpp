// An open connection and the requests in flight on it.

#ifndef APRICOTSTILE_UPSTREAM_MONITORED_CONNECTION_HPP
#define APRICOTSTILE_UPSTREAM_MONITORED_CONNECTION_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <cstdint>
#include <map>

namespace apricotstile::upstream {

/// Assigned by the caller; never reused.
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

/// Identifies a remote address; a probe goes to the address of the connection
/// under suspicion.
using address_id = strong_id<struct address_id_tag, std::uint64_t>;

struct pending_exchange {
    bool idempotent{true};
    instant deadline;
    /// Usual duration of such requests; zero if unknown.
    duration expected_duration{0};
};

enum class connection_state : std::uint8_t {
    healthy,
    /// A probe was sent on a new connection.
    probing,
    /// The probe was answered; the connection has until `due` to show traffic.
    awaiting_traffic
};

struct monitored_connection {
    address_id address;
    /// True for links: their other end answers pings while it works, so silence
    /// shows that the connection is lost. An HTTP upstream may only be slow.
    bool answers_pings{false};
    connection_state state{connection_state::healthy};
    /// Time of the last traffic, or of the first request sent while idle.
    instant silent_since;
    /// When the current probe or grace period ends.
    instant due;
    std::map<work_id, pending_exchange> pending;
};

} // namespace apricotstile::upstream

#endif
