// The owner's side: runs the decisions about each request beside the upstream
// and performs the calls.

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
#include <apricotstile/upstream/dispatcher.hpp>

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
    /// A request of one connection; ids of two ingress daemons may be alike.
    struct work_key {
        std::uint64_t connection;
        request_id id;

        friend auto operator<=>(const work_key&, const work_key&) = default;
    };

    /// Work that a dispatcher has.
    struct known_work {
        request_origin origin;
        address upstream;
        assignment::range_id range;
        http::client_exchange exchange;
        bool called{false};
    };

    // Requests, in dispatch_duty.cpp.
    void take(dispatch_message&& message);
    void take_work(incoming_work&& work);
    void offer(
        incoming_work&& work,
        internal::local_upstream& upstream,
        const assignment::dispatch_decision& decision
    );
    void issue_ticket(
        const incoming_work& work,
        const internal::local_upstream& upstream,
        const assignment::dispatch_decision& decision
    );
    void cancel(const cancelled_work& message);
    void retry_held();
    void perform(
        internal::local_upstream& upstream,
        const upstream::dispatch_actions& actions
    );
    void call(internal::local_upstream& upstream, upstream::work_id id);
    void cancel_call(internal::local_upstream& upstream, upstream::work_id id);
    void finished(upstream::work_id id, http::exchange_result&& result);
    void respond(const upstream::respond& what);
    void refuse(const incoming_work& work, request::refusal reason);
    void
    answer(const request_origin& origin, request::routed_response&& response);
    /// What the owner's state, the map and the lease say now.
    [[nodiscard]] assignment::dispatch_decision decide(
        const service_id& service, const std::string& key, instant now
    ) const;
    [[nodiscard]] bool
    still_owns(const upstream::dispatch_work& work, instant now) const;
    [[nodiscard]] bool is_running(const assignment::range_id& range) const;
    void report_drained();

    // Upstreams, in dispatch_upstreams.cpp.
    void take_announcement(
        http::exchange_id exchange, const http::http_request& message
    );
    void welcome(const address& where, internal::local_upstream& upstream);
    void publish_services();
    internal::local_upstream* upstream_for(const service_id& service);
    void probe(const address& where);
    void take_probe(const address& where, bool alive);
    void check_upstreams();
    void report_load();
    [[nodiscard]] bool checks_tokens(const service_id& service) const;
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
    void open_owned_slices(instant now);
    /// Sends the slice's memory to its next owner.
    void hand_over(const assignment::range_released& what, instant now);
    /// Notes the slices that `view` shows to be this member's since `before`
    /// by a release, whose memory is on its way.
    void expect_handovers(
        const assignment::assignment_map* before,
        const routing_view& view,
        instant now
    );
    /// Whether the memory that is on its way may know `request`.
    bool awaits_handover(
        const request::routed_request& request,
        const assignment::dispatch_decision& decision,
        instant now
    );
    void take_handovers(instant now);

    dispatch_wiring wiring;
    std::unique_ptr<http::server> announcements;
    std::unique_ptr<QTimer> timer;
    std::map<address, internal::local_upstream> upstreams;
    std::vector<member::served_service> published;
    /// As the control duty last published it.
    std::shared_ptr<const assignment::owner_state> owner;
    /// The map whose slices were opened last.
    std::shared_ptr<const assignment::assignment_map> opened;
    /// Ranges being drained and the attempt to answer with.
    std::map<assignment::range_id, std::uint64_t> draining;
    /// Requests for ranges that are on their way here; bounded.
    std::deque<incoming_work> held;
    std::map<upstream::work_id, known_work> works;
    std::map<work_key, upstream::work_id> work_of;
    upstream::work_id last_work;
    /// Until when non-idempotent requests wait for a slice's memory.
    std::map<request::slice_ref, instant> expected;
    /// Memories handed over that wait for the map; bounded.
    std::deque<std::pair<instant, request::slice_handover>> handovers;
    /// Requests dispatched since the last load report, by range.
    std::map<assignment::range_id, std::uint64_t> load;
    instant load_since;
    std::uint64_t dispatched{0};
    std::uint64_t cancelled{0};
    std::uint64_t handed_over{0};
    std::uint64_t taken_over{0};
    std::map<std::string, std::uint64_t> refusals;
};

} // namespace apricotstile::daemon

#endif
