// A listening TCP socket on Qt's event loop.

#ifndef APRICOTSTILE_NET_ACCEPTOR_HPP
#define APRICOTSTILE_NET_ACCEPTOR_HPP

#include <apricotstile/host/address.hpp>

#include <QObject>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace apricotstile::net {

/// While the process has no descriptors left, connections wait in the kernel's
/// queue.
class acceptor : public QObject {
public:
    /// Receives the descriptor of each accepted connection, which it then owns,
    /// and the address of the peer.
    using accept_handler =
        std::function<void(int descriptor, const address& peer)>;

    /// Throws `std::runtime_error` if listening fails.
    acceptor(const address& listen_address, accept_handler on_accept);
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    ~acceptor() override;

private:
    void accept_pending();
    void pause(int error);

    int descriptor{-1};
    accept_handler on_accept;
    std::unique_ptr<QSocketNotifier> notifier;
    /// Whether no connection has been accepted since the last failure.
    bool is_failing{false};
};

} // namespace apricotstile::net

#endif
