// A caller whose bytes and close reach the kernel at once, without the event
// loop: what a daemon finds in its sockets after its loop was blocked.

#ifndef APRICOTSTILE_TESTS_ROUTER_BLOCKING_CALLER_HPP
#define APRICOTSTILE_TESTS_ROUTER_BLOCKING_CALLER_HPP

#include <apricotstile/host/address.hpp>

#include <string>
#include <string_view>

namespace apricotstile::tests {

class blocking_caller {
public:
    explicit blocking_caller(const address& peer);
    blocking_caller(const blocking_caller&) = delete;
    blocking_caller& operator=(const blocking_caller&) = delete;
    ~blocking_caller();

    void send(std::string_view bytes) const;
    /// What has arrived since the last call; empty if nothing has.
    [[nodiscard]] std::string read_available() const;
    /// Shuts the connection down in order.
    void close();

private:
    int descriptor{-1};
};

} // namespace apricotstile::tests

#endif
