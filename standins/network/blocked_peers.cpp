// Reads and applies the list of blocked peers.

#include <standins/network/blocked_peers.hpp>

#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>

namespace apricotstile::standins {

std::set<address> parse_blocked(std::string_view text) {
    std::set<address> blocked;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        if (const auto parsed = parse_address(text.substr(0, end))) {
            blocked.insert(*parsed);
        }
        text.remove_prefix(
            end == std::string_view::npos ? text.size() : end + 1
        );
    }
    return blocked;
}

address address_in(const sockaddr* raw) {
    if (raw == nullptr || raw->sa_family != AF_INET) {
        return {};
    }
    sockaddr_in found{};
    std::memcpy(&found, raw, sizeof found);
    return {ntohl(found.sin_addr.s_addr), ntohs(found.sin_port)};
}

bool loses_bytes(blocked_peers& peers, int descriptor, const address& peer) {
    if (peers.blocked.count(peer) > 0) {
        peers.silent.insert(descriptor);
    }
    return peers.silent.count(descriptor) > 0;
}

} // namespace apricotstile::standins
