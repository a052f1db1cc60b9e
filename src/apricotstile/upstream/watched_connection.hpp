// One open connection and the work that waits on it.

#ifndef APRICOTSTILE_UPSTREAM_WATCHED_CONNECTION_HPP
#define APRICOTSTILE_UPSTREAM_WATCHED_CONNECTION_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <cstdint>
#include <map>

namespace apricotstile::upstream {

/// Counted by the shell; never reused.
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

/// The address that a connection goes to; a probe goes to the same.
using path_id = strong_id<struct path_id_tag, std::uint64_t>;

struct waiting_exchange {
    bool idempotent{true};
    instant deadline;
    /// How long such work usually takes; zero when not known.
    duration expected{0};
};

enum class watch_state : std::uint8_t {
    trusted,
    /// A probe is on its way by a new connection.
    probing,
    /// The probe was answered; the connection has until `due` to show life.
    last_chance
};

struct watched_connection {
    path_id path;
    /// True for links, whose other end answers pings while it works: silence
    /// proves that the connection is lost. An HTTP upstream may just be slow.
    bool answers_pings{false};
    watch_state state{watch_state::trusted};
    /// Since bytes came, or since the wait for them began.
    instant quiet_since;
    /// When the probe or the last chance ends.
    instant due;
    std::map<work_id, waiting_exchange> waiting;
};

} // namespace apricotstile::upstream

#endif
