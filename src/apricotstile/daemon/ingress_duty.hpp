// Takes callers' requests, routes them to the owner's daemon and answers.

#ifndef APRICOTSTILE_DAEMON_INGRESS_DUTY_HPP
#define APRICOTSTILE_DAEMON_INGRESS_DUTY_HPP

#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/http/server.hpp>
#include <apricotstile/metrics/latency.hpp>

#include <QTimer>

#include <map>
#include <memory>
#include <unordered_map>

namespace apricotstile::daemon {

struct ingress_wiring {
    address callers;
    published_state& state;
    inbox<link_message>& links;
    inbox<dispatch_message>& dispatch;
};

class ingress_duty : public duty {
public:
    explicit ingress_duty(const ingress_wiring& wiring);
    ~ingress_duty() override;

    inbox<ingress_message> messages;

    /// Refuses new connections and requests; waiting ones are finished.
    void drain();
    /// Requests that wait for their outcome.
    [[nodiscard]] std::size_t waiting();

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    struct pending {
        http::exchange_id exchange;
        request::routed_request request;
        instant started;
        instant deadline;
        /// Where it was sent last.
        host_id host;
        unsigned attempts{0};
    };

    void take(http::exchange_id exchange, http::http_request&& message);
    void route(pending& one);
    void send(pending& one, host_id host);
    void finish(request_id id, const request::routed_response& response);
    void refuse(request_id id, request::refusal reason);
    void caller_hung_up(http::exchange_id exchange);
    void take_response(finished_request&& message);
    void take_broken_link(host_id host);
    void expire();

    ingress_wiring wiring;
    std::unique_ptr<http::server> server;
    std::unique_ptr<QTimer> timer;
    std::unordered_map<request_id, pending> waiting_requests;
    std::unordered_map<http::exchange_id, request_id> request_of;
    /// Every waiting request, by deadline.
    std::multimap<instant, request_id> deadlines;
    request_id last_id;
    metrics::latency answered_latency;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t late_responses{0};
};

} // namespace apricotstile::daemon

#endif
