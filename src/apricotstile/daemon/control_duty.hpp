// Membership and assignment: keeps the routing view up to date.

#ifndef APRICOTSTILE_DAEMON_CONTROL_DUTY_HPP
#define APRICOTSTILE_DAEMON_CONTROL_DUTY_HPP

#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace apricotstile::daemon {

struct control_wiring {
    settings::daemon_settings settings;
    published_state& state;
    inbox<store_request>& store;
    inbox<link_message>& links;
};

class control_duty : public duty {
public:
    explicit control_duty(const control_wiring& wiring);
    ~control_duty() override;

    inbox<control_message> messages;

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    using read_handler = std::function<void(const platform::read_result&)>;
    using commit_handler = std::function<void(const platform::commit_result&)>;

    void take(control_message&& message);
    void tick();
    void read(const std::string& prefix, read_handler handler);
    void commit(platform::transaction work, commit_handler handler);
    void take_members(const std::vector<platform::row>& rows);
    void take_map(const std::vector<platform::row>& rows);
    void write_own_record();
    void plan();
    void publish();

    control_wiring wiring;
    std::unique_ptr<QTimer> timer;
    platform::operation_id last_operation;
    std::map<platform::operation_id, read_handler> reads;
    std::map<platform::operation_id, commit_handler> commits;
    member::member_record own;
    platform::row_version own_version;
    bool joined{false};
    std::vector<announced_service> services;
    std::map<host_id, member::member_record> members;
    std::map<std::string, platform::row_version> map_rows;
    assignment::assignment_map map;
    instant started;
};

} // namespace apricotstile::daemon

#endif
