// Performs the decisions of upstream_service.

#include <standins/upstream/upstream_server.hpp>

#include <standins/upstream/upstream_faults.hpp>
#include <standins/upstream/work_request.hpp>

#include <QCoreApplication>

#include <csignal>
#include <cstdlib>

namespace apricotstile::standins {

namespace {

constexpr std::chrono::milliseconds health_sample_interval{50};
constexpr std::chrono::milliseconds leave_check_interval{20};

upstream_service make_service(const upstream_settings& settings) {
    upstream_service service;
    for (const served_service& one : settings.services) {
        service.services[one.name].settings = one;
    }
    service.times = settings.times;
    service.checks_tokens = settings.checks_tokens;
    service.started_at = boot_clock::now();
    return service;
}

std::size_t connections_of(const upstream_settings& settings) {
    std::size_t sum = 0;
    for (const served_service& one : settings.services) {
        sum += one.connections;
    }
    return sum;
}

bool is_control(const http_request& request) {
    return request.headers.count("apricotstile-service") == 0;
}

} // namespace

upstream_server::upstream_server(const upstream_settings& chosen)
    : settings(chosen), service(make_service(chosen)),
      health{chosen.health_lag, chosen.health_lies, {}},
      executions(chosen.record_file), random(chosen.seed),
      connection_limit(connections_of(chosen)),
      daemon_announcer(chosen.daemon, chosen.listen, chosen.services),
      server([this](const http_request& request, const pending_reply& reply) {
          this->receive(request, reply);
      }) {
    this->server.listen_on(chosen.listen);
    QObject::connect(
        &this->health_timer,
        &QTimer::timeout,
        &this->context,
        [this] {
            note_load(this->health, load_of(this->service), boot_clock::now());
        }
    );
    this->health_timer.start(health_sample_interval);
    QObject::connect(
        &this->leave_timer,
        &QTimer::timeout,
        &this->context,
        [this] {
            this->check_leaving();
        }
    );
}

void upstream_server::leave() {
    this->leaving_since = boot_clock::now();
    this->daemon_announcer.announce_leaving();
    this->leave_timer.start(leave_check_interval);
}

void upstream_server::check_leaving() {
    const instant now = boot_clock::now();
    const instant quiet_since =
        std::max(this->last_arrival, this->leaving_since);
    const bool quiet = now - quiet_since >= this->settings.leave_quiet &&
                       this->daemon_announcer.leaving_is_known();
    const bool late = now - this->leaving_since >= this->settings.leave_limit;
    if ((quiet || late) && in_flight(this->service) == 0) {
        QCoreApplication::quit();
    }
}

void upstream_server::receive(
    const http_request& request, const pending_reply& reply
) {
    try {
        if (is_control(request)) {
            reply.send(this->answer_control(request));
        } else {
            this->receive_work(request, reply);
        }
    } catch (const std::exception& error) {
        reply.send(not_run_reply(400, error.what()));
    }
}

http_reply upstream_server::answer_control(const http_request& request) {
    const instant now = boot_clock::now();
    http_reply reply;
    if (request.path == "/health") {
        reply.body = told(this->health, now);
    } else if (request.path == "/record") {
        reply.body = this->executions.to_json();
    } else if (request.path == "/grants") {
        add_grants(this->service.granted, parse_grants(request.body), now);
    } else if (request.path == "/cancel") {
        this->cancel_request(parameter_of(request, "id"));
    } else if (request.path == "/faults") {
        change_faults(request.body, this->service, this->health);
    } else {
        reply = error_reply(404, "no such call");
    }
    return reply;
}

bool upstream_server::admit_connection(const pending_reply& reply) {
    const QTcpSocket* const socket = reply.connection();
    if (socket == nullptr || this->connections.count(socket) > 0) {
        return true;
    }
    if (this->connections.size() >= this->connection_limit) {
        return false;
    }
    this->connections.insert(socket);
    QObject::connect(
        socket,
        &QObject::destroyed,
        &this->context,
        [this, socket] {
            this->connections.erase(socket);
        }
    );
    return true;
}

void upstream_server::receive_work(
    const http_request& request, const pending_reply& reply
) {
    const instant now = boot_clock::now();
    this->last_arrival = now;
    this->last_id = next(this->last_id);
    const work_item item = parse_work(request, this->last_id, now);
    if (!this->admit_connection(reply)) {
        reply.send(reply_to({item.id, work_refusal::shed}));
        return;
    }
    open_request opened{reply, item.service, {}, {}, false};
    opened.answer =
        answer_body(echo_of(item, request.body), this->settings.listen);
    if (QTcpSocket* const socket = reply.connection()) {
        const std::string name = item.request_name;
        opened.hang_up = QObject::connect(
            socket,
            &QTcpSocket::disconnected,
            &this->context,
            [this, name] {
                this->cancel_request(name);
            }
        );
    }
    this->open.emplace(item.id, std::move(opened));
    this->perform(arrive(this->service, item, now, this->random));
}

void upstream_server::cancel_request(const std::string& request_name) {
    this->perform(
        cancel(this->service, request_name, boot_clock::now(), this->random)
    );
}

void upstream_server::perform(const work_actions& actions) {
    for (const work_action& action : actions) {
        std::visit(
            [this](const auto& one) {
                this->perform(one);
            },
            action
        );
    }
}

void upstream_server::perform(const work_started& started) {
    const work_item& item = started.item;
    this->executions.started(
        begin_execution(item, this->settings.listen, boot_clock::now())
    );
    this->open.at(item.id).running = true;
    if (item.poison) {
        this->bring_down();
    }
    const auto takes =
        std::chrono::ceil<std::chrono::milliseconds>(started.takes);
    QTimer::singleShot(
        takes,
        Qt::PreciseTimer,
        &this->context,
        [this, id = item.id, cut = started.cut_by_deadline] {
            this->complete(id, cut);
        }
    );
}

void upstream_server::perform(const work_refused& refused) {
    this->open.at(refused.id).reply.send(reply_to(refused));
    this->close(refused.id);
}

void upstream_server::perform(const work_stopped& stopped) {
    this->open.at(stopped.id).reply.send(error_reply(500, "cancelled"));
    this->end(stopped.id, execution_end::cancelled);
}

void upstream_server::complete(work_id id, bool cut_by_deadline) {
    const auto found = this->open.find(id);
    if (found == this->open.end()) {
        // Cancelled meanwhile.
        return;
    }
    const service_id ran = found->second.service;
    http_reply reply;
    reply.body = found->second.answer;
    if (cut_by_deadline) {
        reply = error_reply(504, "deadline passed");
    }
    const bool sent = found->second.reply.send(reply);
    const execution_end how = cut_by_deadline ? execution_end::deadline_passed
                              : sent          ? execution_end::answered
                                              : execution_end::answer_lost;
    this->end(id, how);
    this->perform(
        finish(this->service, ran, id, boot_clock::now(), this->random)
    );
}

void upstream_server::end(work_id id, execution_end how) {
    this->executions.ended(id, boot_clock::now(), how);
    this->close(id);
}

void upstream_server::close(work_id id) {
    const auto found = this->open.find(id);
    QObject::disconnect(found->second.hang_up);
    this->open.erase(found);
}

void upstream_server::bring_down() {
    if (this->settings.poison == poison_effect::crash) {
        std::abort();
    }
    if (this->settings.poison == poison_effect::freeze) {
        std::raise(SIGSTOP);
    }
}

} // namespace apricotstile::standins
