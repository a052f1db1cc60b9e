// Options that the daemon sets on every TCP socket.

#ifndef APRICOTSTILE_NET_INTERNAL_SOCKET_OPTIONS_HPP
#define APRICOTSTILE_NET_INTERNAL_SOCKET_OPTIONS_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>

#include <netinet/in.h>

namespace apricotstile::net::internal {

/// Disables Nagle's algorithm. Enables keep-alive probes and a timeout for
/// unacknowledged data, which detect peers that have become unreachable.
void set_stream_options(int descriptor, duration unacknowledged_timeout);

[[nodiscard]] sockaddr_in to_socket_address(const address& source);

} // namespace apricotstile::net::internal

#endif
