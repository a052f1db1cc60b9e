// Which peers a process is cut off from.

#ifndef APRICOTSTILE_STANDINS_NETWORK_BLOCKED_PEERS_HPP
#define APRICOTSTILE_STANDINS_NETWORK_BLOCKED_PEERS_HPP

#include <apricotstile/host/address.hpp>

#include <set>
#include <string_view>

struct sockaddr;

namespace apricotstile::standins {

struct blocked_peers {
    std::set<address> blocked;
    /// Connections that lost bytes. They stay silent until they are closed,
    /// even when their peer can be reached again.
    std::set<int> silent;
};

/// Reads addresses, one a line; other lines are left out.
[[nodiscard]] std::set<address> parse_blocked(std::string_view text);

/// The IPv4 address in `raw`, or port zero when it is anything else.
[[nodiscard]] address address_in(const sockaddr* raw);

/// True when bytes on the connection `descriptor` to `peer` get lost, which
/// makes it silent for good.
[[nodiscard]] bool
loses_bytes(blocked_peers& peers, int descriptor, const address& peer);

} // namespace apricotstile::standins

#endif
