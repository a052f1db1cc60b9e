// Guards against callers without an answer, when the daemon stops or when the
// host that a request was sent to becomes unresponsive. Runs the request router
// on real sockets; functions of the test replace the rest of the daemon.

#include <apricotstile/edge/request_router.hpp>

#include <tests/edge/ingress_with_hosts.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

using namespace apricotstile;
using namespace apricotstile::edge;
using namespace apricotstile::peer;
using tests::ingress_with_hosts;
using tests::result;
using tests::status_line;
using namespace std::chrono_literals;

namespace {

/// The host becomes unresponsive after it has received the request.
void send_to_unresponsive_host(
    ingress_with_hosts& fixture, QTcpSocket& caller
) {
    fixture.request(caller);
    fixture.unresponsive = fixture.requests.at(0).host;
    fixture.callers->handle_unresponsive_peer(fixture.unresponsive);
}

} // namespace

TEST_CASE(
    "a stopping daemon answers all waiting requests before it exits",
    "[router][ingress]"
) {
    ingress_with_hosts fixture{1};
    QTcpSocket early;
    fixture.request(early);
    fixture.callers->start_closing(boot_clock::now() + 50ms);
    QTcpSocket late;
    fixture.request(late);
    CHECK(status_line(early).starts_with("HTTP/1.1 504"));
    CHECK(status_line(late).starts_with("HTTP/1.1 504"));
    CHECK(fixture.requests.at(0).cancelled);
    CHECK(fixture.callers->waiting() == 0);
}

TEST_CASE(
    "a deadline beyond the range of the clock is one far away",
    "[router][ingress]"
) {
    // Guards against a deadline that overflows to one in the past.
    ingress_with_hosts fixture{1};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    const std::string left = GENERATE(
        "9300000000000", "9223372036854775807", "18446744073709551615"
    );
    const std::string request = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                                "Request-Id: 1\r\nTime-Left: " +
                                left + "\r\n\r\n";
    caller.write(request.c_str());
    REQUIRE(tests::wait_until([&] {
        return !fixture.requests.empty();
    }));
    // A deadline in the past would end the request meanwhile.
    const instant later = boot_clock::now() + 100ms;
    REQUIRE(tests::wait_until([&] {
        return boot_clock::now() > later;
    }));
    CHECK(fixture.callers->waiting() == 1);
    fixture.requests.at(0).done(result(serving::attempt_outcome::answered));
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a request at an unresponsive host is sent to another one too",
    "[router][ingress]"
) {
    ingress_with_hosts fixture{2};
    QTcpSocket caller;
    send_to_unresponsive_host(fixture, caller);
    REQUIRE(fixture.requests.size() == 2);
    CHECK(fixture.requests.at(1).host != fixture.unresponsive);
    // It may be running there.
    CHECK_FALSE(fixture.requests.at(0).cancelled);
    const std::size_t first_to_answer = GENERATE(0U, 1U);
    fixture.requests.at(first_to_answer)
        .done(result(serving::attempt_outcome::answered));
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
    CHECK_FALSE(fixture.requests.at(first_to_answer).cancelled);
    CHECK(fixture.requests.at(1 - first_to_answer).cancelled);
    CHECK(fixture.callers->waiting() == 0);
}

TEST_CASE(
    "a run at an unresponsive host isn't given up because other hosts refuse "
    "the request",
    "[router][ingress]"
) {
    ingress_with_hosts fixture{2};
    QTcpSocket caller;
    send_to_unresponsive_host(fixture, caller);
    REQUIRE(fixture.requests.size() == 2);
    fixture.requests.at(1).done(result(serving::attempt_outcome::refused_busy));
    CHECK_FALSE(fixture.requests.at(0).cancelled);
    CHECK(fixture.callers->waiting() == 1);
    const auto [outcome, status] =
        GENERATE(table<serving::attempt_outcome, std::string>(
            {{serving::attempt_outcome::answered, "HTTP/1.1 200"},
             {serving::attempt_outcome::lost, "HTTP/1.1 502"}}
        ));
    fixture.requests.at(0).done(result(outcome));
    CHECK(status_line(caller).starts_with(status));
    CHECK(fixture.callers->waiting() == 0);
}

TEST_CASE(
    "a request goes on at another host when it is lost at an unresponsive one",
    "[router][ingress]"
) {
    ingress_with_hosts fixture{2};
    QTcpSocket caller;
    send_to_unresponsive_host(fixture, caller);
    REQUIRE(fixture.requests.size() == 2);
    fixture.requests.at(0).done(result(serving::attempt_outcome::lost));
    CHECK(fixture.callers->waiting() == 1);
    fixture.requests.at(1).done(result(serving::attempt_outcome::answered));
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a caller that leaves ends its request at both hosts", "[router][ingress]"
) {
    ingress_with_hosts fixture{2};
    QTcpSocket caller;
    send_to_unresponsive_host(fixture, caller);
    REQUIRE(fixture.requests.size() == 2);
    caller.abort();
    REQUIRE(tests::wait_until([&] {
        return fixture.callers->waiting() == 0;
    }));
    CHECK(fixture.requests.at(0).cancelled);
    CHECK(fixture.requests.at(1).cancelled);
}

TEST_CASE(
    "a request that can't run elsewhere waits for an unresponsive host",
    "[router][ingress]"
) {
    const bool idempotent = GENERATE(true, false);
    ingress_with_hosts fixture{idempotent ? 1U : 2U, idempotent};
    QTcpSocket caller;
    fixture.request(caller);
    fixture.unresponsive = fixture.requests.at(0).host;
    fixture.callers->handle_unresponsive_peer(fixture.unresponsive);
    CHECK(fixture.requests.size() == 1);
    CHECK_FALSE(fixture.requests.at(0).cancelled);
    fixture.requests.at(0).done(result(serving::attempt_outcome::answered));
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
}

namespace {

std::string pipelined_request(int id) {
    return "GET /x/" + std::to_string(id) +
           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + std::to_string(id) +
           "\r\nTime-Left: 10000\r\n\r\n";
}

/// Reads what has arrived until `count` responses are complete; their ids.
std::vector<std::string> response_ids(QTcpSocket& caller, std::size_t count) {
    std::string received;
    const auto ids = [&] {
        std::vector<std::string> result;
        const std::string name = "Request-Id: ";
        for (std::size_t at = received.find(name); at != std::string::npos;
             at = received.find(name, at + 1)) {
            const std::size_t begin = at + name.size();
            result.push_back(
                received.substr(begin, received.find("\r\n", begin) - begin)
            );
        }
        return result;
    };
    REQUIRE(tests::wait_until([&] {
        received += caller.readAll().toStdString();
        return ids().size() >= count && received.ends_with("\r\n\r\n");
    }));
    return ids();
}

} // namespace

TEST_CASE(
    "requests behind one another are answered in order, wherever they are cut",
    "[router][ingress][pipelining]"
) {
    const std::string bytes =
        pipelined_request(1) + pipelined_request(2) + pipelined_request(3);
    ingress_with_hosts fixture{1};
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        const std::size_t before = fixture.requests.size();
        QTcpSocket caller;
        caller.connectToHost(
            QHostAddress{fixture.listen.ip}, fixture.listen.port
        );
        REQUIRE(tests::wait_until([&] {
            return caller.state() == QAbstractSocket::ConnectedState;
        }));
        caller.write(bytes.substr(0, cut).c_str());
        REQUIRE(tests::wait_until([&] {
            return caller.bytesToWrite() == 0;
        }));
        caller.write(bytes.substr(cut).c_str());
        for (std::size_t index = before; index < before + 3; ++index) {
            REQUIRE(tests::wait_until([&] {
                return fixture.requests.size() > index;
            }));
            // The one behind isn't forwarded before this one is answered.
            CHECK(fixture.requests.size() == index + 1);
            fixture.requests.at(index).done(
                result(serving::attempt_outcome::answered)
            );
        }
        CHECK(
            response_ids(caller, 3) == std::vector<std::string>{"1", "2", "3"}
        );
    }
}

TEST_CASE(
    "thousands of requests behind one another that are refused at once are all "
    "answered",
    "[router][ingress][pipelining]"
) {
    // Guards against a process that ends as each is handled inside the one
    // before.
    constexpr int count = 30'000;
    ingress_with_hosts fixture{1};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    const QByteArray one{"GET / HTTP/1.1\r\nHost: b\r\n\r\n"};
    caller.write(one.repeated(count));
    int answers = 0;
    CHECK(tests::wait_until([&] {
        while (caller.canReadLine()) {
            answers += caller.readLine().startsWith("HTTP/1.1 ") ? 1 : 0;
        }
        return answers >= count;
    }));
    CHECK(answers == count);
}

TEST_CASE(
    "a late answer to a request isn't taken for the one to another request of "
    "its connection",
    "[router][ingress][pipelining]"
) {
    // Guards against the body of a lookup as the answer to an order, and
    // against an order that is sent twice as a lookup was refused. The first
    // request is refused while it is being forwarded, which starts the second
    // one.
    ingress_with_hosts fixture{1};
    fixture.next_outcome = serving::attempt_outcome::refused_quarantined;
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    caller.write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: 1\r\nTime-Left: 10000\r\n\r\n"
                 "GET /x/2 HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: 2\r\nTime-Left: 200\r\n\r\n");
    QByteArray received;
    const auto wait_for_answers = [&](int count) {
        REQUIRE(tests::wait_until([&] {
            received += caller.readAll();
            return received.count("HTTP/1.1 ") >= count;
        }));
    };
    wait_for_answers(2);
    CHECK(received.count("HTTP/1.1 503") == 1);
    CHECK(received.count("HTTP/1.1 504") == 1);
    REQUIRE(fixture.requests.size() == 2);
    CHECK(fixture.requests[1].cancelled);

    caller.write("GET /x/3 HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: 3\r\nTime-Left: 10000\r\n\r\n");
    REQUIRE(tests::wait_until([&] {
        return fixture.requests.size() == 3;
    }));
    routed_response late = result(serving::attempt_outcome::answered);
    late.body = "second";
    fixture.requests[1].done(std::move(late));
    routed_response own = result(serving::attempt_outcome::answered);
    own.body = "third";
    fixture.requests[2].done(std::move(own));
    wait_for_answers(3);
    CHECK(received.endsWith("third"));
    CHECK_FALSE(received.contains("second"));
}

TEST_CASE(
    "a stopping daemon leaves requests behind another one unforwarded",
    "[router][ingress][pipelining]"
) {
    ingress_with_hosts fixture{1};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    caller.write((pipelined_request(1) + pipelined_request(2)).c_str());
    REQUIRE(tests::wait_until([&] {
        return fixture.requests.size() == 1;
    }));
    fixture.callers->start_closing(boot_clock::now() + 10s);
    fixture.requests.at(0).done(result(serving::attempt_outcome::answered));
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
    REQUIRE(tests::wait_until([&] {
        return caller.state() == QAbstractSocket::UnconnectedState;
    }));
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE(
    "a caller can't make the daemon buffer requests without limit",
    "[router][ingress][pipelining]"
) {
    constexpr int sent = 20'000;
    ingress_with_hosts fixture{1};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    for (int id = 1; id <= sent; ++id) {
        caller.write(pipelined_request(id).c_str());
    }
    REQUIRE(tests::wait_until([&] {
        return fixture.requests.size() == 1 && caller.bytesToWrite() == 0;
    }));
    fixture.requests.at(0).done(result(serving::attempt_outcome::answered));
    // The first is answered; the rest is to be sent again elsewhere.
    CHECK(status_line(caller).starts_with("HTTP/1.1 200"));
    REQUIRE(tests::wait_until([&] {
        return caller.state() == QAbstractSocket::UnconnectedState;
    }));
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE(
    "no instance in an evacuated failure domain is chosen, although its daemon "
    "announces it as ready",
    "[router][ingress][evacuation]"
) {
    ingress_with_hosts fixture{3};
    for (const std::uint64_t id : {1, 3}) {
        fixture.known.entries.at(host_id{id}).where.failure_domain =
            fixture.evacuated;
    }
    constexpr std::size_t requests = 20;
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    while (callers.size() < requests) {
        callers.push_back(std::make_unique<QTcpSocket>());
        fixture.request(*callers.back());
        CHECK(fixture.requests.back().host == host_id{2});
    }
    fixture.known.entries.at(host_id{2}).where.failure_domain =
        fixture.evacuated;
    QTcpSocket rejected;
    rejected.connectToHost(
        QHostAddress{fixture.listen.ip}, fixture.listen.port
    );
    rejected.write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                   "Request-Id: 2\r\nTime-Left: 10000\r\n\r\n");
    CHECK(status_line(rejected).starts_with("HTTP/1.1 503"));
    CHECK(fixture.requests.size() == requests);
}

TEST_CASE(
    "a request that crashes instances is refused where it comes in",
    "[router][ingress][quarantine]"
) {
    ingress_with_hosts fixture{2};
    fixture.quarantined = 5s;
    QTcpSocket caller;
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    caller.write(pipelined_request(1).c_str());
    CHECK(status_line(caller).starts_with("HTTP/1.1 503"));
    CHECK(fixture.requests.empty());
    CHECK(caller.readAll().contains("Retry-After: 5.000"));
}

TEST_CASE(
    "a request isn't sent to a second instance once it is known to crash them",
    "[router][ingress][quarantine]"
) {
    ingress_with_hosts fixture{2};
    QTcpSocket caller;
    fixture.request(caller);
    fixture.quarantined = 5s;
    fixture.requests.at(0).done(result(serving::attempt_outcome::lost));
    // It has run.
    CHECK(status_line(caller).starts_with("HTTP/1.1 502"));
    CHECK(fixture.requests.size() == 1);
}
