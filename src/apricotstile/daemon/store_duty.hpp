// Calls to the platform's table service and object store, over HTTP.

#ifndef APRICOTSTILE_DAEMON_STORE_DUTY_HPP
#define APRICOTSTILE_DAEMON_STORE_DUTY_HPP

#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/http/client_connection.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace apricotstile::http {
class client_pool;
}

namespace apricotstile::daemon {

class store_duty : public duty {
public:
    store_duty(
        const settings::platform_addresses& addresses,
        inbox<control_message>& control
    );
    ~store_duty() override;

    inbox<store_request> messages;

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    void start_waiting();
    void start(store_request&& request);
    void perform(const platform::submit_transaction& call);
    void perform(const platform::read_rows& call);
    void perform(const platform::put_object& call);
    void perform(const platform::get_object& call);
    void send(
        http::client_pool& pool,
        const http::http_request& request,
        std::function<store_result(http::exchange_result&&)> interpret
    );

    settings::platform_addresses addresses;
    inbox<control_message>& control;
    std::unique_ptr<http::client_pool> table;
    std::unique_ptr<http::client_pool> objects;
    /// Calls that wait for a connection; bounded by the inbox.
    std::deque<store_request> waiting;
    std::uint64_t calls{0};
    std::uint64_t failed{0};
};

} // namespace apricotstile::daemon

#endif
