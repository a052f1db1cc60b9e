// Opening, accepting and closing of links; frames in and out.

#include <apricotstile/daemon/link_duty.hpp>

#include <apricotstile/daemon/internal/peer_connection.hpp>
#include <apricotstile/log/logger.hpp>

#include <QHostAddress>
#include <QRandomGenerator>
#include <QTcpServer>
#include <QTimer>

#include <fmt/format.h>

#include <stdexcept>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::peer_connection;

constexpr std::size_t inbox_capacity = 65536;
constexpr std::size_t max_waiting_frames = 4096;
constexpr qint64 max_unsent_bytes = 32 << 20;
constexpr auto check_interval = 50ms;
constexpr duration open_timeout = 500ms;
constexpr duration idle_timeout = 60s;
/// Longer than `idle_timeout`: the peer closes a link that it doesn't use, so
/// a link that is quiet for longer was lost.
constexpr duration accepted_idle_timeout = 90s;
constexpr std::size_t nonce_words = 4;
constexpr auto log_prefix = "link";

std::string fresh_nonce() {
    std::array<quint32, nonce_words> words{};
    QRandomGenerator::system()->fillRange(words.data(), words.size());
    return {
        reinterpret_cast<const char*>(words.data()), // NOLINT
        sizeof words};
}

} // namespace

link_duty::link_duty(const link_wiring& parts)
    : duty("links"), messages(inbox_capacity), wiring(parts) {}

link_duty::~link_duty() = default;

void link_duty::set_up() {
    this->messages.open(this->context(), [this](link_message&& message) {
        this->take(std::move(message));
    });
    this->listener = std::make_unique<QTcpServer>();
    const address& where = this->wiring.peers;
    if (!this->listener->listen(QHostAddress{where.ip}, where.port)) {
        throw std::runtime_error{fmt::format(
            "can't listen on {}: {}",
            to_string(where),
            this->listener->errorString().toStdString()
        )};
    }
    QObject::connect(
        this->listener.get(),
        &QTcpServer::newConnection,
        this->context(),
        [this] {
            this->accept();
        }
    );
    this->timer = std::make_unique<QTimer>();
    this->timer->setInterval(check_interval);
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->check_links();
        }
    );
    this->timer->start();
}

void link_duty::tear_down() {
    this->messages.close();
    this->timer.reset();
    this->listener.reset();
    for (auto& [number, connection] : this->connections) {
        connection->socket->disconnect();
    }
    this->connections.clear();
}

peer_connection& link_duty::add(std::unique_ptr<QTcpSocket> socket) {
    ++this->last_number;
    auto made = std::make_unique<peer_connection>();
    peer_connection& connection = *made;
    const connection_number number = this->last_number;
    connection.number = number;
    connection.socket = std::move(socket);
    const member::member_ref self = this->wiring.state.view.load()->self;
    connection.session = link::make_session(
        this->wiring.key,
        {host_at(this->wiring.peers), self.incarnation, fresh_nonce()}
    );
    connection.opened_at = boot_clock::now();
    connection.last_received = connection.opened_at;
    connection.silence = link::make_silence(connection.opened_at);
    QTcpSocket* const raw = connection.socket.get();
    QObject::connect(raw, &QTcpSocket::readyRead, this->context(), [=, this] {
        this->bytes_arrived(number);
    });
    // Queued: the connection is destroyed by this and must not be on the
    // stack of its own socket's signal.
    QObject::connect(
        raw,
        &QTcpSocket::disconnected,
        this->context(),
        [=, this] {
            this->closed(number);
        },
        Qt::QueuedConnection
    );
    QObject::connect(
        raw,
        &QTcpSocket::errorOccurred,
        this->context(),
        [=, this] {
            this->closed(number);
        },
        Qt::QueuedConnection
    );
    this->connections.emplace(number, std::move(made));
    return connection;
}

void link_duty::accept() {
    while (this->listener->hasPendingConnections()) {
        std::unique_ptr<QTcpSocket> socket{
            this->listener->nextPendingConnection()};
        socket->setParent(nullptr);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        peer_connection& connection = this->add(std::move(socket));
        connection.socket->write(
            QByteArray::fromStdString(link::hello_bytes(connection.session))
        );
    }
}

peer_connection& link_duty::open_to(host_id host) {
    const auto found = this->outgoing.find(host);
    if (found != this->outgoing.end()) {
        return *this->connections.at(found->second);
    }
    peer_connection& connection = this->add(std::make_unique<QTcpSocket>());
    connection.target = host;
    this->outgoing.emplace(host, connection.number);
    const address where = peer_address(host);
    QTcpSocket* const socket = connection.socket.get();
    const std::string hello = link::hello_bytes(connection.session);
    QObject::connect(
        socket,
        &QTcpSocket::connected,
        this->context(),
        [socket, hello] {
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            socket->write(QByteArray::fromStdString(hello));
        }
    );
    socket->connectToHost(QHostAddress{where.ip}, where.port);
    return connection;
}

void link_duty::send(peer_connection& where, const frame& payload) {
    const std::string bytes = link::frame_bytes(where.session, encode(payload));
    ++this->frames_sent;
    this->bytes_sent += bytes.size();
    where.socket->write(QByteArray::fromStdString(bytes));
}

void link_duty::take(link_message&& message) {
    if (auto* request = std::get_if<outgoing_request>(&message)) {
        const auto view = this->wiring.state.view.load();
        if (internal::owns_nothing(view->members, request->host)) {
            this->wiring.ingress.push(request_not_sent{
                request->host, request->request.id});
            return;
        }
        peer_connection& where = this->open_to(request->host);
        if (link::is_open(where.session) &&
            where.socket->bytesToWrite() < max_unsent_bytes) {
            where.unanswered.insert(request->request.id);
            this->send(where, std::move(request->request));
        } else if (where.waiting.size() < max_waiting_frames &&
                   !link::is_open(where.session)) {
            where.waiting_requests.push_back(request->request.id);
            where.waiting.push_back(encode(frame{std::move(request->request)}));
        } else {
            this->wiring.ingress.push(request_not_sent{
                request->host, request->request.id});
        }
    } else if (auto* cancel = std::get_if<outgoing_cancel>(&message)) {
        const auto found = this->outgoing.find(cancel->host);
        if (found != this->outgoing.end()) {
            peer_connection& where = *this->connections.at(found->second);
            if (link::is_open(where.session)) {
                where.unanswered.erase(cancel->id);
                this->send(where, cancel_frame{cancel->id});
            }
        }
    } else if (auto* response = std::get_if<outgoing_response>(&message)) {
        const auto found = this->connections.find(response->origin.connection);
        if (found == this->connections.end()) {
            ++this->late_answers;
            return;
        }
        this->send(*found->second, std::move(response->response));
    } else if (auto* control = std::get_if<outgoing_control>(&message)) {
        peer_connection& where = this->open_to(control->host);
        if (link::is_open(where.session)) {
            this->send(where, control_frame{std::move(control->payload)});
            where.owes_pong = true;
        } else if (where.waiting.size() < max_waiting_frames) {
            where.waiting.push_back(encode(frame{
                control_frame{std::move(control->payload)}}));
        }
    }
}

void link_duty::bytes_arrived(connection_number number) {
    const auto found = this->connections.find(number);
    if (found == this->connections.end()) {
        return;
    }
    peer_connection& where = *found->second;
    const std::string bytes = where.socket->readAll().toStdString();
    this->bytes_received += bytes.size();
    where.last_received = boot_clock::now();
    where.owes_pong = false;
    link::bytes_heard(where.silence, where.last_received);
    const bool was_open = link::is_open(where.session);
    try {
        for (const std::string& payload : link::receive(where.session, bytes)) {
            ++this->frames_received;
            this->take_frame(where, decode<frame>(payload));
        }
        if (where.target != host_id{} && link::is_open(where.session) &&
            where.session.theirs.host != where.target) {
            throw link::link_error{"another host answers at this address"};
        }
    } catch (const std::runtime_error& error) {
        ++this->links_refused;
        log::write(
            log::level::warning,
            log_prefix,
            "Link refused.",
            {{"reason", error.what()}}
        );
        where.socket->abort();
        return;
    }
    if (!was_open && link::is_open(where.session)) {
        where.unanswered.insert(
            where.waiting_requests.begin(), where.waiting_requests.end()
        );
        where.waiting_requests.clear();
        for (const std::string& payload : where.waiting) {
            const std::string sealed =
                link::frame_bytes(where.session, payload);
            ++this->frames_sent;
            this->bytes_sent += sealed.size();
            where.socket->write(QByteArray::fromStdString(sealed));
        }
        where.waiting.clear();
    }
}

void link_duty::take_frame(peer_connection& where, frame&& received) {
    const host_id peer = where.session.theirs.host;
    if (auto* request = std::get_if<request::routed_request>(&received)) {
        const request_origin origin{peer, where.number};
        const request_id id = request->id;
        incoming_work work{origin, std::move(*request), boot_clock::now()};
        if (!this->wiring.dispatch.push(std::move(work))) {
            request::routed_response response;
            response.id = id;
            response.outcome = request::outcome::not_run;
            response.refusal = request::refusal::overloaded;
            this->send(where, response);
        }
    } else if (auto* response = std::get_if<request::routed_response>(&received)) {
        where.unanswered.erase(response->id);
        this->wiring.ingress.push(finished_request{peer, std::move(*response)});
    } else if (auto* cancel = std::get_if<cancel_frame>(&received)) {
        this->wiring.dispatch.push(cancelled_work{
            {peer, where.number}, cancel->id});
    } else if (auto* control = std::get_if<control_frame>(&received)) {
        this->wiring.control.push(incoming_control{
            peer, std::move(control->payload)});
    } else if (std::holds_alternative<ping_frame>(received)) {
        this->send(where, pong_frame{});
    }
}

void link_duty::closed(connection_number number) {
    const auto found = this->connections.find(number);
    if (found == this->connections.end()) {
        return;
    }
    const std::unique_ptr<peer_connection> gone = std::move(found->second);
    this->connections.erase(found);
    gone->socket->disconnect();
    gone->socket->abort();
    if (gone->target == host_id{}) {
        return;
    }
    ++this->links_lost;
    this->outgoing.erase(gone->target);
    for (const request_id id : gone->waiting_requests) {
        this->wiring.ingress.push(request_not_sent{gone->target, id});
    }
    if (!gone->unanswered.empty()) {
        this->wiring.ingress.push(link_broken{
            gone->target, {gone->unanswered.begin(), gone->unanswered.end()}});
    }
    log::write(
        log::level::info,
        log_prefix,
        "Link closed.",
        {{"peer", to_string(peer_address(gone->target))},
         {"unanswered", std::to_string(gone->unanswered.size())}}
    );
}

bool link_duty::is_lost(peer_connection& where, instant now) {
    if (!link::is_open(where.session)) {
        return now - where.opened_at > open_timeout;
    }
    if (where.target == host_id{}) {
        return now - where.last_received > accepted_idle_timeout;
    }
    const bool awaited = !where.unanswered.empty() || where.owes_pong;
    const auto action = link::check(where.silence, awaited, now);
    if (action == link::silence_action::ping) {
        ++this->pings_sent;
        this->send(where, ping_frame{});
    }
    const bool silent = action == link::silence_action::close;
    this->links_silent += silent ? 1 : 0;
    const bool idle = !awaited && now - where.last_received > idle_timeout;
    return silent || idle;
}

void link_duty::check_links() {
    const instant now = boot_clock::now();
    const auto view = this->wiring.state.view.load();
    std::vector<connection_number> lost;
    for (auto& [number, connection] : this->connections) {
        const host_id target = connection->target;
        const bool gone =
            target != host_id{} &&
            internal::has_gone(connection->presence, view->members, target);
        this->members_gone += gone ? 1 : 0;
        if (gone || this->is_lost(*connection, now)) {
            lost.push_back(number);
        }
    }
    for (const connection_number number : lost) {
        this->closed(number);
    }
}

nlohmann::json link_duty::description() const {
    nlohmann::json result;
    result["connections"] = this->connections.size();
    result["outgoing"] = this->outgoing.size();
    result["frames_sent"] = this->frames_sent;
    result["frames_received"] = this->frames_received;
    result["bytes_sent"] = this->bytes_sent;
    result["bytes_received"] = this->bytes_received;
    result["links_refused"] = this->links_refused;
    result["links_lost"] = this->links_lost;
    result["links_silent"] = this->links_silent;
    result["members_gone"] = this->members_gone;
    result["pings_sent"] = this->pings_sent;
    result["late_answers"] = this->late_answers;
    result["inbox"] = this->messages.size();
    result["inbox_refused"] = this->messages.refused_count();
    return result;
}

} // namespace apricotstile::daemon
