// Takes callers' requests, routes them to the owner's daemon or to a chosen
// instance, and answers. Runs the decisions of request/ingress.

#ifndef APRICOTSTILE_DAEMON_INGRESS_DUTY_HPP
#define APRICOTSTILE_DAEMON_INGRESS_DUTY_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/internal/pause_guard.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/daemon/share_gate.hpp>
#include <apricotstile/host/location.hpp>
#include <apricotstile/http/server.hpp>
#include <apricotstile/metrics/latency.hpp>
#include <apricotstile/request/ingress.hpp>
#include <apricotstile/upstream/load_balancer.hpp>

#include <QTimer>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace apricotstile::daemon {

struct ingress_wiring {
    address callers;
    location where;
    published_state& state;
    inbox<link_message>& links;
    inbox<dispatch_message>& dispatch;
    inbox<control_message>& control;
    share_gate& shares;
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
    /// A send that the load balancer counts as in flight at `host`.
    struct placement {
        host_id host;
        instant sent;
    };

    /// A request in the ingress state.
    struct open_request {
        http::exchange_id exchange;
        request::routed_request request;
        instant started;
        /// Only for requests that the load balancer places.
        std::optional<placement> placed;
    };

    /// A request whose customer has no share here yet.
    struct unadmitted_request {
        http::exchange_id exchange;
        request::routed_request request;
        instant started;
        instant give_up;
    };

    // Limits of customers, in ingress_admission.cpp.
    void admit(unadmitted_request&& one);
    void wait_for_share(unadmitted_request&& one, duration patience);
    void retry_waiting(const customer_id& customer);
    void expire_waiting();
    void refuse(
        http::exchange_id exchange,
        request::refusal reason,
        duration retry_after
    );

    // Requests and answers, in ingress_duty.cpp.
    void take(http::exchange_id exchange, http::http_request&& message);
    /// Begins to route an admitted request.
    void begin(unadmitted_request&& one);
    void take_message(ingress_message&& message);
    void take_response(finished_request&& message);
    void hung_up(http::exchange_id exchange);
    void tick();
    /// Applies `event` and performs what follows from it.
    void apply(const request::ingress_event& event);
    void perform(request::ingress_actions&& actions);
    [[nodiscard]] request::ingress_actions
    send(const request::send_to_host& what);
    void cancel(const request::cancel_stream& what);
    void answer(request::answer_caller&& what);
    void
    reply(http::exchange_id exchange, const request::routed_response& response);

    // Hosts to send to, in ingress_routes.cpp.
    [[nodiscard]] bool has_owner(const request::routed_request& request) const;
    [[nodiscard]] request::ingress_event
    find_route(const request::find_route& what);
    [[nodiscard]] request::ingress_event
    find_owner(const open_request& one, request_id id) const;
    [[nodiscard]] request::ingress_event
    choose_instance(open_request& one, const request::find_route& what);
    /// Takes in the members and the map that are published now.
    void follow_view();
    void follow_map();
    /// The request whose try on `stream` is in flight, or nothing.
    [[nodiscard]] open_request* request_on(request_id stream);
    /// Tells the load balancer how the present try of `one` has ended.
    void end_try(
        open_request& one,
        upstream::send_result result,
        const request::routed_response& response
    );

    ingress_wiring wiring;
    std::unique_ptr<http::server> server;
    std::unique_ptr<QTimer> timer;
    random_source random;
    request::ingress decisions;
    internal::pause_guard pauses;
    upstream::load_balancer balancer;
    /// Has the same requests as `decisions` while no event is applied.
    std::unordered_map<request_id, open_request> requests;
    std::unordered_map<http::exchange_id, request_id> request_of;
    /// The view that `balancer` and `divided` were taken from.
    std::shared_ptr<const routing_view> followed;
    /// Services whose keys have one owner each; the others that members
    /// serve are in `balancer`.
    std::set<service_id> divided;
    /// Bounded; each entry is released by a share, its patience or its
    /// caller.
    std::map<customer_id, std::deque<unadmitted_request>> waiting_for_share;
    std::size_t waiting_count{0};
    metrics::latency answered_latency;
    std::map<std::string, std::uint64_t> outcomes;
};

} // namespace apricotstile::daemon

#endif
