// How instances of a keyed service learn which keys they hold.

#ifndef APRICOTSTILE_ROUTING_GRANT_METHOD_HPP
#define APRICOTSTILE_ROUTING_GRANT_METHOD_HPP

#include <cstdint>

namespace apricotstile::routing {

enum class grant_method : std::uint8_t {
    /// From the answers to their heartbeats.
    heartbeat,
    /// From calls by the daemon beside them; see `keys/grants_by_call.hpp`.
    call
};

} // namespace apricotstile::routing

#endif
