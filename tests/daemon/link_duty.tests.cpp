// Requests on links whose peer is silent or gone are released.

#include <apricotstile/daemon/link_duty.hpp>
#include <apricotstile/link/session.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>
#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::daemon;
using apricotstile::tests::need_application;
using apricotstile::tests::unused_address;
using apricotstile::tests::wait_until;

namespace {

constexpr auto key = "a key of the tests";

address address_of_tests() {
    need_application();
    return unused_address();
}

/// A running link duty; what it tells the other duties is kept.
struct running_links {
    published_state state;
    QObject context;
    inbox<ingress_message> ingress{100};
    inbox<dispatch_message> dispatch{100};
    inbox<control_message> control{100};
    std::vector<ingress_message> told;
    std::size_t work{0};
    address where{address_of_tests()};
    link_duty tested{
        {this->where,
         key,
         this->state,
         this->ingress,
         this->dispatch,
         this->control}};

    running_links() {
        this->ingress.open(&this->context, [this](ingress_message&& message) {
            this->told.push_back(std::move(message));
        });
        this->dispatch.open(&this->context, [this](dispatch_message&&) {
            ++this->work;
        });
        this->control.open(&this->context, [](control_message&&) {});
        this->tested.start();
    }

    running_links(const running_links&) = delete;
    running_links& operator=(const running_links&) = delete;

    ~running_links() {
        this->tested.stop();
    }

    void send(host_id host, std::uint64_t number) {
        request::routed_request request;
        request.id = request_id{number};
        this->tested.messages.push(outgoing_request{host, request});
    }

    void list(host_id host, member::member_state standing) {
        auto view = std::make_shared<routing_view>();
        member::member_record record;
        record.self = {host, incarnation{1}};
        record.state = standing;
        view->members.emplace(host, record);
        this->state.view.store(std::move(view));
    }

    [[nodiscard]] std::uint64_t figure(const char* name) {
        return this->tested.describe().at(name).get<std::uint64_t>();
    }

    [[nodiscard]] std::optional<link_broken> broken() const {
        for (const ingress_message& message : this->told) {
            if (const auto* found = std::get_if<link_broken>(&message)) {
                return *found;
            }
        }
        return std::nullopt;
    }
};

/// Opens links as a daemon does, reads requests and says nothing more, as
/// after a partition that forgot the connection.
struct silent_peer {
    QTcpServer listener;
    address where{address_of_tests()};
    std::vector<request_id> requests;
    std::vector<std::unique_ptr<link::session>> sessions;

    silent_peer() {
        QObject::connect(
            &this->listener,
            &QTcpServer::newConnection,
            &this->listener,
            [this] {
                this->accept();
            }
        );
        REQUIRE(this->listener.listen(
            QHostAddress{this->where.ip}, this->where.port
        ));
    }

    void accept() {
        QTcpSocket* const socket = this->listener.nextPendingConnection();
        this->sessions.push_back(std::make_unique<link::session>(
            link::make_session(key, {host_at(this->where), {}, "nonce"})
        ));
        link::session* const session = this->sessions.back().get();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [=, this] {
            this->read(*socket, *session);
        });
        socket->write(QByteArray::fromStdString(link::hello_bytes(*session)));
    }

    void read(QTcpSocket& socket, link::session& session) {
        const std::string bytes = socket.readAll().toStdString();
        for (const std::string& payload : link::receive(session, bytes)) {
            const auto received = decode<frame>(payload);
            if (const auto* one =
                    std::get_if<request::routed_request>(&received)) {
                this->requests.push_back(one->id);
            }
        }
    }
};

} // namespace

TEST_CASE("requests on a silent link are released", "[daemon]") {
    running_links links;
    silent_peer peer;
    const host_id host = host_at(peer.where);
    links.send(host, 1);
    REQUIRE(wait_until([&] {
        return peer.requests.size() == 1;
    }));
    REQUIRE(wait_until([&] {
        return links.broken().has_value();
    }));
    REQUIRE(links.broken()->host == host);
    REQUIRE(links.broken()->unanswered == std::vector{request_id{1}});
    // The next request finds a new connection.
    links.send(host, 2);
    REQUIRE(wait_until([&] {
        return peer.requests.size() == 2;
    }));
    REQUIRE(peer.sessions.size() == 2);
}

TEST_CASE("a link whose peer works slowly is kept", "[daemon]") {
    running_links links;
    running_links peer;
    links.send(host_at(peer.where), 1);
    REQUIRE(wait_until([&] {
        return peer.work == 1;
    }));
    // More pings than a silent link would get before it is closed.
    REQUIRE(wait_until([&] {
        return links.figure("pings_sent") >= 5;
    }));
    REQUIRE(links.figure("links_lost") == 0);
    REQUIRE(links.told.empty());
}

TEST_CASE("requests to a deposed member are released", "[daemon]") {
    running_links links;
    running_links peer;
    const host_id host = host_at(peer.where);
    links.list(host, member::member_state::active);
    links.send(host, 1);
    REQUIRE(wait_until([&] {
        return peer.work == 1;
    }));
    // By then the link's timer has seen the member active.
    REQUIRE(wait_until([&] {
        return links.figure("pings_sent") >= 1;
    }));
    links.list(host, member::member_state::deposed);
    REQUIRE(wait_until([&] {
        return links.broken().has_value();
    }));
    REQUIRE(links.broken()->unanswered == std::vector{request_id{1}});
    links.send(host, 2);
    REQUIRE(wait_until([&] {
        return links.told.size() == 2;
    }));
    REQUIRE(std::get<request_not_sent>(links.told[1]).id == request_id{2});
    REQUIRE(links.figure("links_silent") == 0);
    REQUIRE(peer.work == 1);
}
