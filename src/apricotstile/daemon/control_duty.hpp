// Runs the control decisions: datagrams, timers and calls to the platform in,
// messages and the published state out.

#ifndef APRICOTSTILE_DAEMON_CONTROL_DUTY_HPP
#define APRICOTSTILE_DAEMON_CONTROL_DUTY_HPP

#include <apricotstile/control/controller.hpp>
#include <apricotstile/control/plan_controller.hpp>
#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/daemon/share_gate.hpp>
#include <apricotstile/plan/status.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <QTimer>
#include <QUdpSocket>

#include <atomic>
#include <functional>
#include <memory>

namespace apricotstile::daemon {

struct control_wiring {
    settings::daemon_settings settings;
    published_state& state;
    inbox<store_request>& store;
    inbox<link_message>& links;
    inbox<dispatch_message>& dispatch;
    inbox<ingress_message>& ingress;
    share_gate& shares;
    /// Runs in the control duty's thread when an operator's apply is settled.
    std::function<void(const control::apply_settled&)> on_apply;
};

class control_duty : public duty {
public:
    explicit control_duty(const control_wiring& wiring);
    ~control_duty() override;

    inbox<control_message> messages;

    /// Whether this daemon has released everything and left.
    [[nodiscard]] bool has_left() const;
    /// Which members have which version of the lists; waits a moment for
    /// fresh answers. Not from this duty's thread.
    [[nodiscard]] plan::plan_status plan_status();

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    void take(control_message&& message);
    void take_result(const store_result& result);
    /// Tells what this daemon serves, its customers included.
    void announce(std::vector<member::served_service> services);
    void read_datagrams();
    void take_envelope(const std::string& payload);
    void feed(const control::event& what);
    void perform(const control::action& what);
    void send(const control::envelope& what);
    void publish_view();
    void publish_owner();
    void apply_plan_event(const control::plan_event& what);
    void perform_plan_action(const control::plan_action& what);
    void feed_shares(const share::ingress_event& what);
    void send_running_members();

    control_wiring wiring;
    control::controller controller;
    control::plan_controller plan_controller;
    instant shares_tick_at;
    random_source random;
    std::unique_ptr<QTimer> timer;
    std::unique_ptr<QUdpSocket> socket;
    std::atomic<bool> left{false};
    std::uint64_t datagrams_sent{0};
    std::uint64_t datagrams_received{0};
    std::uint64_t datagram_bytes_sent{0};
    std::uint64_t datagram_bytes_received{0};
    std::uint64_t bulk_sent{0};
    std::uint64_t refused_datagrams{0};
};

} // namespace apricotstile::daemon

#endif
