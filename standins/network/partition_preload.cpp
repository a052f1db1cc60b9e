// A library to be preloaded into a daemon: it cuts the daemon off from the
// peers that the file named by APRICOTSTILE_BLOCKED_PEERS lists. Datagrams to
// them vanish, bytes on open connections vanish, new connections fail.

#include <standins/network/blocked_peers.hpp>

#include <apricotstile/core/time.hpp>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <mutex>

#include <dlfcn.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace apricotstile;
using namespace apricotstile::standins;

constexpr std::chrono::milliseconds reload_interval{20};

struct cut_off {
    std::mutex mutex;
    blocked_peers peers;
    instant next_reload{};
};

cut_off& the_cut_off() {
    // Never destroyed, since sockets may be used until the very end.
    static auto* const only = new cut_off;
    return *only;
}

void reload(cut_off& state) {
    const instant now = boot_clock::now();
    if (now < state.next_reload) {
        return;
    }
    state.next_reload = now + reload_interval;
    const char* const file = std::getenv("APRICOTSTILE_BLOCKED_PEERS");
    std::ifstream in{file == nullptr ? "" : file};
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    state.peers.blocked = parse_blocked(text);
}

bool is_blocked(const address& peer) {
    cut_off& state = the_cut_off();
    const std::lock_guard lock{state.mutex};
    reload(state);
    return state.peers.blocked.count(peer) > 0;
}

address connected_peer(int descriptor) {
    sockaddr_storage raw{};
    socklen_t length = sizeof raw;
    auto* const plain = reinterpret_cast<sockaddr*>(&raw);
    const bool known = getpeername(descriptor, plain, &length) == 0;
    return known ? address_in(plain) : address{};
}

bool connection_loses_bytes(int descriptor) {
    cut_off& state = the_cut_off();
    const std::lock_guard lock{state.mutex};
    reload(state);
    if (state.peers.blocked.empty() && state.peers.silent.empty()) {
        return false;
    }
    return loses_bytes(state.peers, descriptor, connected_peer(descriptor));
}

void forget(int descriptor) {
    cut_off& state = the_cut_off();
    const std::lock_guard lock{state.mutex};
    state.peers.silent.erase(descriptor);
}

/// The C library's function of this name.
template <class Function>
Function* real(const char* name) {
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

std::size_t length_of(const msghdr& message) {
    std::size_t length = 0;
    for (std::size_t part = 0; part < message.msg_iovlen; ++part) {
        length += message.msg_iov[part].iov_len;
    }
    return length;
}

} // namespace

extern "C" {

int connect(int descriptor, const sockaddr* to, socklen_t length) {
    static auto* const next = real<decltype(connect)>("connect");
    if (is_blocked(address_in(to))) {
        errno = ENETUNREACH;
        return -1;
    }
    return next(descriptor, to, length);
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
    static auto* const next = real<decltype(send)>("send");
    if (connection_loses_bytes(descriptor)) {
        return static_cast<ssize_t>(size);
    }
    return next(descriptor, bytes, size, flags);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
    static auto* const next = real<decltype(write)>("write");
    if (connection_loses_bytes(descriptor)) {
        return static_cast<ssize_t>(size);
    }
    return next(descriptor, bytes, size);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
    static auto* const next = real<decltype(sendmsg)>("sendmsg");
    const auto* const to = static_cast<const sockaddr*>(message->msg_name);
    const bool lost = to == nullptr ? connection_loses_bytes(descriptor)
                                    : is_blocked(address_in(to));
    if (lost) {
        return static_cast<ssize_t>(length_of(*message));
    }
    return next(descriptor, message, flags);
}

int close(int descriptor) {
    static auto* const next = real<decltype(close)>("close");
    forget(descriptor);
    return next(descriptor);
}

} // extern "C"
