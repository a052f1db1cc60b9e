// The owner's side: checks ownership and lease, queues by importance and calls
// the upstream beside this daemon.

#ifndef APRICOTSTILE_DAEMON_DISPATCH_DUTY_HPP
#define APRICOTSTILE_DAEMON_DISPATCH_DUTY_HPP

#include <apricotstile/assignment/dispatch.hpp>
#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/http/client_pool.hpp>
#include <apricotstile/http/server.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <QTimer>

#include <deque>
#include <map>
#include <memory>

namespace apricotstile::daemon {

namespace internal {
struct local_upstream;
}

struct dispatch_wiring {
    address upstreams;
    std::map<service_id, settings::fencing> fencing_of;
    published_state& state;
    inbox<link_message>& links;
    inbox<ingress_message>& ingress;
    inbox<control_message>& control;
};

class dispatch_duty : public duty {
public:
    explicit dispatch_duty(const dispatch_wiring& wiring);
    ~dispatch_duty() override;

    inbox<dispatch_message> messages;

    /// Requests that wait or run.
    [[nodiscard]] std::size_t unfinished();

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    struct work_key {
        std::uint64_t connection;
        request_id id;

        friend auto operator<=>(const work_key&, const work_key&) = default;
    };

    struct running_work {
        incoming_work work;
        assignment::range_id range;
        address upstream;
        http::client_exchange exchange;
    };

    void take_announcement(
        http::exchange_id exchange, const http::http_request& message
    );
    void publish_services();
    void take_work(incoming_work&& work);
    void cancel(const cancelled_work& message);
    void start_waiting();
    void dispatch(
        incoming_work&& work,
        internal::local_upstream& upstream,
        const assignment::dispatch_decision& decision
    );
    void finished(const work_key& key, http::exchange_result&& result);
    void
    answer(const request_origin& origin, request::routed_response&& response);
    void refuse(const incoming_work& work, request::refusal reason);
    void check_upstreams();
    internal::local_upstream* upstream_for(const service_id& service);
    /// What the owner's state, the map and the lease say of `work` now.
    [[nodiscard]] assignment::dispatch_decision
    decide(const incoming_work& work, instant now) const;
    /// Refuses `work` if its deadline has passed or this daemon isn't the
    /// owner. True if it was refused.
    bool refuse_if_useless(
        const incoming_work& work,
        const assignment::dispatch_decision& decision,
        instant now
    );
    [[nodiscard]] bool is_running(const assignment::range_id& range) const;
    void report_drained();
    void report_load();
    [[nodiscard]] bool is_granted(
        const internal::local_upstream& upstream,
        const assignment::dispatch_decision& decision
    ) const;
    /// The tokens of this member's slices that `upstream` doesn't know.
    [[nodiscard]] std::map<assignment::range_id, fencing_token>
    missing_grants(const internal::local_upstream& upstream) const;
    void grant(internal::local_upstream& upstream, instant now);
    void take_grant_answer(
        const address& where,
        const std::map<assignment::range_id, fencing_token>& granting,
        bool accepted
    );
    [[nodiscard]] bool checks_tokens(const service_id& service) const;

    dispatch_wiring wiring;
    std::unique_ptr<http::server> announcements;
    std::unique_ptr<QTimer> timer;
    std::map<address, internal::local_upstream> upstreams;
    std::vector<member::served_service> published;
    /// As the control duty last published it.
    std::shared_ptr<const assignment::owner_state> owner;
    /// Ranges being drained and the attempt to answer with.
    std::map<assignment::range_id, std::uint64_t> draining;
    /// Requests dispatched since the last load report, by range.
    std::map<assignment::range_id, std::uint64_t> load;
    instant load_since;
    std::deque<incoming_work> queue;
    std::map<work_key, running_work> running;
    std::uint64_t dispatched{0};
    std::uint64_t cancelled{0};
    std::map<std::string, std::uint64_t> refusals;
};

} // namespace apricotstile::daemon

#endif
