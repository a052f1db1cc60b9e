// The upstream stand-in's process: HTTP, timers and records around the
// decisions of upstream_service.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SERVER_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SERVER_HPP

#include <standins/support/http_service.hpp>
#include <standins/upstream/announcer.hpp>
#include <standins/upstream/execution_log.hpp>
#include <standins/upstream/health_report.hpp>
#include <standins/upstream/upstream_service.hpp>
#include <standins/upstream/upstream_settings.hpp>

#include <QObject>
#include <QTimer>

#include <map>
#include <set>

namespace apricotstile::standins {

class upstream_server {
public:
    explicit upstream_server(const upstream_settings& chosen);

    /// Announces that it leaves, and ends the event loop once work has
    /// stopped coming and nothing is in flight.
    void leave();

private:
    /// A request whose answer is due.
    struct open_request {
        pending_reply reply;
        service_id service;
        /// The body of the answer, once it has run.
        std::string answer;
        QMetaObject::Connection hang_up;
        bool running{false};
    };

    void receive(const http_request& request, const pending_reply& reply);
    http_reply answer_control(const http_request& request);
    void receive_work(const http_request& request, const pending_reply& reply);
    bool admit_connection(const pending_reply& reply);
    void perform(const work_actions& actions);
    void perform(const work_started& started);
    void perform(const work_refused& refused);
    void perform(const work_stopped& stopped);
    void complete(work_id id, bool cut_by_deadline);
    void end(work_id id, execution_end how);
    void close(work_id id);
    void cancel_request(const std::string& request_name);
    void bring_down();
    void check_leaving();

    upstream_settings settings;
    upstream_service service;
    health_report health;
    execution_log executions;
    random_source random;
    std::map<work_id, open_request> open;
    std::set<const QTcpSocket*> connections;
    std::size_t connection_limit{0};
    work_id last_id;
    instant last_arrival{};
    instant leaving_since{};
    QObject context;
    QTimer health_timer;
    QTimer leave_timer;
    announcer daemon_announcer;
    http_service server;
};

} // namespace apricotstile::standins

#endif
