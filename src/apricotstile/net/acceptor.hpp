// A listening TCP socket on Qt's event loop.

#ifndef APRICOTSTILE_NET_ACCEPTOR_HPP
#define APRICOTSTILE_NET_ACCEPTOR_HPP

#include <apricotstile/host/address.hpp>

#include <QObject>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace apricotstile::net {

class acceptor : public QObject {
public:
    /// Gets the descriptor of each accepted connection, and its peer's address.
    using accept_handler =
        std::function<void(int descriptor, const address& peer)>;

    /// Throws `std::runtime_error` when it can't listen on `where`.
    acceptor(const address& where, accept_handler on_accept);
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    ~acceptor() override;

private:
    void accept_all();

    int descriptor{-1};
    accept_handler on_accept;
    std::unique_ptr<QSocketNotifier> notifier;
};

} // namespace apricotstile::net

#endif
