// A request router on a real socket; functions of the test replace the rest of
// the daemon.

#ifndef APRICOTSTILE_TESTS_EDGE_INGRESS_WITH_HOSTS_HPP
#define APRICOTSTILE_TESTS_EDGE_INGRESS_WITH_HOSTS_HPP

#include <apricotstile/edge/request_router.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

class QTcpSocket;

namespace apricotstile::tests {

/// A request router whose requests go to hosts that answer only if a test does.
struct ingress_with_hosts {
    struct forwarded_request {
        host_id host;
        edge::request_router_dependencies::response_handler done;
        bool cancelled{false};
    };

    explicit ingress_with_hosts(
        std::uint64_t hosts,
        bool idempotent = true,
        const serving::memory_budget& memory = {}
    );
    ingress_with_hosts(const ingress_with_hosts&) = delete;
    ingress_with_hosts& operator=(const ingress_with_hosts&) = delete;
    ~ingress_with_hosts();

    /// Sends a request and waits until it is forwarded.
    void request(QTcpSocket& caller);

    /// Outlives all that is held.
    serving::memory_budget memory;
    directory::directory known;
    address listen;
    net::timer_queue timers;
    host_id unresponsive;
    std::optional<duration> quarantined;
    /// How the next request ends before it is forwarded; nothing if it doesn't.
    std::optional<serving::attempt_outcome> next_outcome;
    failure_domain_id evacuated{"z"};
    std::vector<forwarded_request> requests;
    std::unique_ptr<edge::request_router> callers;
};

[[nodiscard]] peer::routed_response result(serving::attempt_outcome outcome);

/// Waits for an answer and returns its status line.
[[nodiscard]] std::string status_line(QTcpSocket& caller);

} // namespace apricotstile::tests

#endif
