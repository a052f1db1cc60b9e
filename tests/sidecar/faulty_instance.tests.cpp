// Guards against answers of a faulty instance that are taken for others: a
// refusal that it sends once more for the answer to a later request, and an
// answer that breaks off in its head for a whole one.

#include <apricotstile/sidecar/local_instance.hpp>

#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>

using namespace apricotstile;
using namespace apricotstile::http;
using namespace apricotstile::peer;
using namespace apricotstile::sidecar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

/// An instance that passes what it reads to the test.
struct scripted_instance {
    using request_handler =
        std::function<void(QTcpSocket& connection, const std::string& request)>;

    explicit scripted_instance(request_handler on_request)
        : on_request(std::move(on_request)) {
        tests::need_application();
        REQUIRE(this->server.listen(QHostAddress::LocalHost));
        QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
            QTcpSocket* const caller = this->server.nextPendingConnection();
            QObject::connect(caller, &QTcpSocket::readyRead, [this, caller] {
                this->on_request(*caller, caller->readAll().toStdString());
            });
        });
    }

    QTcpServer server;
    request_handler on_request;
};

/// The daemon beside it.
struct local_daemon {
    explicit local_daemon(const scripted_instance& scripted) {
        this->names.request_id = "Request-Id";
        this->names.signature = "Signature";
        this->names.not_executed = "Not-Executed";
        this->instance = std::make_unique<local_instance>(
            address{loopback, scripted.server.serverPort()},
            this->names,
            this->timers,
            this->memory,
            [](keys::key_number) {
                return true;
            },
            [](std::vector<upstream::crash_report>&&) {},
            [] {}
        );
        this->instance->set_instance({"i", 1}, 1);
        this->instance->set_open(true);
    }

    routed_response run(const std::string& id) {
        std::optional<routed_response> result;
        routed_request request;
        request.method = "GET";
        request.target = "/x/" + id;
        request.headers = {{"Request-Id", id}};
        request.time_to_target = 1s;
        request.time_to_deadline = 5s;
        static_cast<void>(this->instance->submit(
            std::move(request),
            {"caller"},
            [&](routed_response&& response) {
                result = std::move(response);
            }
        ));
        REQUIRE(tests::wait_until([&] {
            return result.has_value();
        }));
        return *result;
    }

    header_names names;
    serving::memory_budget memory;
    net::timer_queue timers;
    std::unique_ptr<local_instance> instance;
};

std::string id_in(const std::string& request) {
    const std::string name = "Request-Id: ";
    const std::size_t begin = request.find(name) + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string refusal(const std::string& id) {
    return "HTTP/1.1 503 Unavailable\r\nNot-Executed: full\r\nRequest-Id: " +
           id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: " + id +
           "\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

TEST_CASE(
    "a refusal that an instance sends once more is no answer to a later "
    "request",
    "[router][instance][faulty]"
) {
    // On each connection the first request is refused, and the refusal is sent
    // once more before the answer to the next request.
    std::map<QTcpSocket*, std::string> earlier;
    std::size_t runs = 0;
    scripted_instance scripted{
        [&](QTcpSocket& connection, const std::string& request) {
            const std::string id = id_in(request);
            if (earlier.empty()) {
                earlier[&connection] = refusal(id);
                connection.write(earlier[&connection].c_str());
                return;
            }
            ++runs;
            const auto repeated = earlier.find(&connection);
            if (repeated != earlier.end()) {
                connection.write(repeated->second.c_str());
            }
            connection.write(success(id).c_str());
        }};
    local_daemon daemon{scripted};
    const routed_response first = daemon.run("1");
    REQUIRE(first.outcome == serving::attempt_outcome::not_executed);
    SECTION("another request follows") {
        const routed_response second = daemon.run("2");
        CHECK(second.outcome == serving::attempt_outcome::answered);
        CHECK(second.body == "body");
    }
    SECTION("the same request follows, as its key has one owner") {
        const routed_response second = daemon.run("1");
        CHECK(second.outcome == serving::attempt_outcome::answered);
        CHECK(second.body == "body");
    }
    CHECK(runs == 1);
}

TEST_CASE(
    "an answer that ends in its head, or in a body of known length, is lost",
    "[router][instance][faulty]"
) {
    const std::string whole = GENERATE(
        success("1"),
        std::string{"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        std::string{"HTTP/1.1 100 Continue\r\n\r\n"} + success("1"),
        // Its head alone, as its body ends with the connection.
        std::string{"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: 1\r\n\r\n"}
    );
    std::size_t sent = 0;
    scripted_instance scripted{[&](QTcpSocket& connection, const std::string&) {
        connection.write(whole.substr(0, sent).c_str());
        connection.disconnectFromHost();
    }};
    local_daemon daemon{scripted};
    for (sent = 0; sent < whole.size(); ++sent) {
        INFO(whole.substr(0, sent));
        CHECK(daemon.run("1").outcome == serving::attempt_outcome::lost);
    }
    CHECK(daemon.run("1").outcome == serving::attempt_outcome::answered);
}

TEST_CASE(
    "no part of another answer is taken for one that broke off",
    "[router][instance][faulty]"
) {
    // A sound answer is cut at each byte, and a late copy of another one
    // follows on the connection.
    const std::string own = GENERATE(
        success("1"),
        std::string{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        std::string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: 1\r\n"
                    "Signature: s\r\n\r\nbody"}
    );
    const std::string other = GENERATE(
        std::string{"HTTP/1.1 200 OK\r\nSignature: o\r\nRequest-Id: 2\r\n"
                    "Content-Length: 5\r\n\r\nother"},
        std::string{"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nSignature: o\r\n"
                    "Content-Length: 5\r\n\r\nother"}
    );
    std::size_t sent = 0;
    scripted_instance scripted{[&](QTcpSocket& connection, const std::string&) {
        connection.write((own.substr(0, sent) + other).c_str());
        connection.disconnectFromHost();
    }};
    local_daemon daemon{scripted};
    for (sent = 0; sent < own.size(); ++sent) {
        INFO(own.substr(0, sent) << other);
        const routed_response response = daemon.run("1");
        // The last bytes of a body may come from the other answer: nothing
        // but the signature could tell.
        const bool is_cut_in_body = sent >= own.find("\r\n\r\n") + 4;
        CHECK((
            is_cut_in_body || response.outcome == serving::attempt_outcome::lost
        ));
        CHECK(response.body.view().find("other") == std::string_view::npos);
    }
}

TEST_CASE(
    "an answer with a status outside the protocol is lost",
    "[router][instance][faulty]"
) {
    // Guards against callers that get such a status as an answer, or that wait
    // until their deadline as it was taken for an interim response.
    const std::string status =
        GENERATE("000", "001", "099", "101", "600", "999");
    scripted_instance scripted{[&](QTcpSocket& connection, const std::string&) {
        connection.write(("HTTP/1.1 " + status +
                          " Odd\r\nSignature: s\r\nRequest-Id: 1\r\n"
                          "Content-Length: 4\r\n\r\nbody")
                             .c_str());
    }};
    local_daemon daemon{scripted};
    INFO(status);
    CHECK(daemon.run("1").outcome == serving::attempt_outcome::lost);
}
