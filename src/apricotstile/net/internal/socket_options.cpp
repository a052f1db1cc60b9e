// Sets socket options with setsockopt.

#include <apricotstile/net/internal/socket_options.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace apricotstile::net::internal {

namespace {

constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_option(int descriptor, int level, int name, int value) {
    // Failure is ignored: without one of these options, lost connections are
    // only detected later.
    static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof value)
    );
}

} // namespace

void set_stream_options(int descriptor, duration unacknowledged_timeout) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(unacknowledged_timeout / std::chrono::milliseconds{1})
    );
}

sockaddr_in to_socket_address(const address& source) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(source.port);
    result.sin_addr.s_addr = htonl(source.ip);
    return result;
}

} // namespace apricotstile::net::internal
