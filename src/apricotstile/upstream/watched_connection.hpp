// An open connection and the requests in flight on it.

#ifndef APRICOTSTILE_UPSTREAM_WATCHED_CONNECTION_HPP
#define APRICOTSTILE_UPSTREAM_WATCHED_CONNECTION_HPP

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
using path_id = strong_id<struct path_id_tag, std::uint64_t>;

struct waiting_exchange {
    bool idempotent{true};
    instant deadline;
    /// Usual duration of such requests; zero if unknown.
    duration expected{0};
};

enum class watch_state : std::uint8_t {
    trusted,
    /// A probe was sent on a new connection.
    probing,
    /// The probe was answered; the connection has until `due` to show traffic.
    last_chance
};

struct watched_connection {
    path_id path;
    /// True for links: their other end answers pings while it works, so silence
    /// shows that the connection is lost. An HTTP upstream may only be slow.
    bool answers_pings{false};
    watch_state state{watch_state::trusted};
    /// Time of the last traffic, or of the first request sent while idle.
    instant quiet_since;
    /// When the current probe or grace period ends.
    instant due;
    std::map<work_id, waiting_exchange> waiting;
};

} // namespace apricotstile::upstream

#endif
