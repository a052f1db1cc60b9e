// Accepts connections on a non-blocking socket when Qt's notifier reports it
// readable.

#include <apricotstile/net/acceptor.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/internal/socket_options.hpp>

#include <QSocketNotifier>
#include <QTimer>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace apricotstile::net {

namespace {

constexpr int backlog = 1024;

/// After a failure, as the socket stays readable meanwhile.
constexpr std::chrono::milliseconds retry_interval{100};

constexpr auto log_prefix = "net";

bool concerns_one_connection(int error) {
    return error == EINTR || error == ECONNABORTED || error == EPROTO;
}

} // namespace

acceptor::acceptor(const address& listen_address, accept_handler on_accept)
    : on_accept(std::move(on_accept)) {
    this->descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(
        this->descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse
    );
    const sockaddr_in local = internal::to_socket_address(listen_address);
    const bool listens = this->descriptor >= 0 &&
                         bind(
                             this->descriptor,
                             reinterpret_cast<const sockaddr*>(&local),
                             sizeof local
                         ) == 0 &&
                         listen(this->descriptor, backlog) == 0;
    if (!listens) {
        const std::string reason = std::strerror(errno);
        if (this->descriptor >= 0) {
            close(this->descriptor);
        }
        throw std::runtime_error{
            "can't listen on " + to_string(listen_address) + ": " + reason};
    }
    this->notifier = std::make_unique<QSocketNotifier>(
        this->descriptor, QSocketNotifier::Read
    );
    QObject::connect(
        this->notifier.get(),
        &QSocketNotifier::activated,
        this,
        [this] {
            this->accept_pending();
        }
    );
}

acceptor::~acceptor() {
    this->notifier.reset();
    close(this->descriptor);
}

void acceptor::accept_pending() {
    while (true) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int accepted = accept4(
            this->descriptor,
            reinterpret_cast<sockaddr*>(&peer),
            &size,
            SOCK_NONBLOCK | SOCK_CLOEXEC
        );
        if (accepted < 0) {
            if (concerns_one_connection(errno)) {
                continue;
            }
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                this->pause(errno);
            }
            return;
        }
        this->is_failing = false;
        this->on_accept(
            accepted, {ntohl(peer.sin_addr.s_addr), ntohs(peer.sin_port)}
        );
    }
}

void acceptor::pause(int error) {
    if (!std::exchange(this->is_failing, true)) {
        log::write(
            log::level::warning,
            log_prefix,
            "Connections can't be accepted and wait.",
            {{"reason", std::strerror(error)}}
        );
    }
    this->notifier->setEnabled(false);
    QTimer::singleShot(retry_interval, this, [this] {
        this->notifier->setEnabled(true);
    });
}

} // namespace apricotstile::net
