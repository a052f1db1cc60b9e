// The operators' interface: dumps, metrics and the order to drain.

#ifndef APRICOTSTILE_DAEMON_OPERATORS_DUTY_HPP
#define APRICOTSTILE_DAEMON_OPERATORS_DUTY_HPP

#include <apricotstile/control/plan_controller_events.hpp>
#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace apricotstile::daemon {

class control_duty;

struct operators_wiring {
    address operators;
    std::string token;
    published_state& state;
    /// The duties whose state a dump shows.
    std::vector<duty*> duties;
    control_duty& control;
    /// Starts a graceful stop of the daemon.
    std::function<void()> drain;
};

class operators_duty : public duty {
public:
    explicit operators_duty(operators_wiring wiring);
    ~operators_duty() override;

    /// Answers the operator whose apply is settled. From any thread.
    void apply_settled(const control::apply_settled& settled);

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    void take(http::exchange_id exchange, const http::http_request& message);
    void start_apply(http::exchange_id exchange, const std::string& body);
    void answer_apply(const control::apply_settled& settled);
    [[nodiscard]] bool is_authorized(const http::http_request& message) const;
    [[nodiscard]] nlohmann::json dump() const;

    operators_wiring wiring;
    std::unique_ptr<http::server> server;
    /// Operators that wait for an apply, by its order.
    std::map<std::uint64_t, http::exchange_id> applies;
    std::uint64_t last_order{0};
    std::uint64_t refused_without_token{0};
};

} // namespace apricotstile::daemon

#endif
