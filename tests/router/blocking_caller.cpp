// Blocking socket calls.

#include <tests/router/blocking_caller.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotstile::tests {

blocking_caller::blocking_caller(const address& peer)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(peer.ip);
    target.sin_port = htons(peer.port);
    REQUIRE(
        ::connect(
            this->descriptor,
            reinterpret_cast<const sockaddr*>(&target),
            sizeof target
        ) == 0
    );
}

blocking_caller::~blocking_caller() {
    this->close();
}

void blocking_caller::send(std::string_view bytes) const {
    REQUIRE(
        ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(bytes.size())
    );
}

std::string blocking_caller::read_available() const {
    constexpr std::size_t chunk_bytes = 4096;
    std::array<char, chunk_bytes> chunk{};
    const ssize_t received =
        ::recv(this->descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT);
    return received > 0
               ? std::string{chunk.data(), static_cast<std::size_t>(received)}
               : std::string{};
}

void blocking_caller::close() {
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

} // namespace apricotstile::tests
