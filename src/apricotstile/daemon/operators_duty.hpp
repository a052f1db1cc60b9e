// The operators' interface: dumps, metrics and the order to drain.

#ifndef APRICOTSTILE_DAEMON_OPERATORS_DUTY_HPP
#define APRICOTSTILE_DAEMON_OPERATORS_DUTY_HPP

#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace apricotstile::daemon {

struct operators_wiring {
    address operators;
    std::string token;
    published_state& state;
    /// The duties whose state a dump shows.
    std::vector<duty*> duties;
    /// Starts a graceful stop of the daemon.
    std::function<void()> drain;
};

class operators_duty : public duty {
public:
    explicit operators_duty(operators_wiring wiring);
    ~operators_duty() override;

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    void take(http::exchange_id exchange, const http::http_request& message);
    [[nodiscard]] bool is_authorized(const http::http_request& message) const;
    [[nodiscard]] nlohmann::json dump() const;

    operators_wiring wiring;
    std::unique_ptr<http::server> server;
    std::uint64_t refused_without_token{0};
};

} // namespace apricotstile::daemon

#endif
