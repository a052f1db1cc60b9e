// The options that every TCP socket of the daemon has.

#ifndef APRICOTSTILE_NET_INTERNAL_SOCKET_OPTIONS_HPP
#define APRICOTSTILE_NET_INTERNAL_SOCKET_OPTIONS_HPP

#include <apricotstile/host/address.hpp>

#include <netinet/in.h>

namespace apricotstile::net::internal {

/// Sends small writes at once and finds connections that went silent by
/// keep-alive probes and by unacknowledged bytes.
void set_stream_options(int descriptor);

[[nodiscard]] sockaddr_in to_socket_address(const address& where);

} // namespace apricotstile::net::internal

#endif
