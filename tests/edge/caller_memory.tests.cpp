// Guards against a process that ends, with all of its requests, as it holds too
// much for callers that send or read large bodies slowly; and against refused
// callers that see a reset in place of the answer.

#include <apricotstile/serving/memory_budget.hpp>
#include <tests/edge/ingress_with_hosts.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

constexpr std::size_t kilobyte = 1'000;
constexpr std::size_t megabyte = 1'000'000;

/// Room for large messages of 8.75 MB in all.
constexpr serving::memory_budget small_budget{10 * megabyte, 0};

void connect_to(QTcpSocket& caller, const ingress_with_hosts& fixture) {
    caller.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
}

void send_head(QTcpSocket& caller, std::size_t body_bytes) {
    const std::string head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "Request-Id: 1\r\nTime-Left: 10000\r\n"
                             "Content-Length: " +
                             std::to_string(body_bytes) + "\r\n\r\n";
    caller.write(head.c_str());
}

peer::routed_response answer_of(std::size_t bytes) {
    peer::routed_response response = result(serving::attempt_outcome::answered);
    response.body = std::string(bytes, 'a');
    return response;
}

/// A caller that gets an answer and reads only its first bytes.
std::unique_ptr<QTcpSocket>
download_slowly(ingress_with_hosts& fixture, std::size_t bytes) {
    auto caller = std::make_unique<QTcpSocket>();
    caller->setReadBufferSize(1);
    const std::size_t index = fixture.requests.size();
    fixture.request(*caller);
    fixture.requests.at(index).done(answer_of(bytes));
    return caller;
}

} // namespace

TEST_CASE(
    "a body that doesn't fit beside others is refused before it is read",
    "[router][memory]"
) {
    constexpr std::size_t body_bytes = 5 * megabyte;
    ingress_with_hosts fixture{1, true, small_budget};
    QTcpSocket first;
    connect_to(first, fixture);
    send_head(first, body_bytes);
    first.write(std::string(kilobyte, 'a').c_str());
    REQUIRE(wait_until([&] {
        return first.bytesToWrite() == 0 &&
               fixture.callers->open_connections() == 1;
    }));
    QTcpSocket second;
    connect_to(second, fixture);
    send_head(second, body_bytes);
    second.write(std::string(body_bytes, 'a').c_str());
    CHECK(status_line(second).starts_with("HTTP/1.1 503"));
    CHECK(second.readLine().startsWith("Retry-After: 1"));
    first.write(std::string(body_bytes - kilobyte, 'a').c_str());
    REQUIRE(wait_until([&] {
        return !fixture.requests.empty();
    }));
    fixture.requests.at(0).done(answer_of(0));
    CHECK(status_line(first).starts_with("HTTP/1.1 200"));
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE(
    "a caller that still sends a body that is too large gets the reason",
    "[router][memory]"
) {
    constexpr std::size_t body_bytes = 20 * megabyte;
    ingress_with_hosts fixture{1};
    QTcpSocket caller;
    connect_to(caller, fixture);
    send_head(caller, body_bytes);
    caller.write(std::string(body_bytes, 'a').c_str());
    CHECK(status_line(caller).starts_with("HTTP/1.1 413"));
}

TEST_CASE(
    "requests are refused while their answers wouldn't fit beside those that "
    "callers haven't read",
    "[router][memory]"
) {
    ingress_with_hosts fixture{1, true, small_budget};
    const auto slow = download_slowly(fixture, 8 * megabyte);
    QTcpSocket next;
    next.connectToHost(QHostAddress{fixture.listen.ip}, fixture.listen.port);
    next.write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
               "Request-Id: 2\r\nTime-Left: 10000\r\n\r\n");
    CHECK(status_line(next).starts_with("HTTP/1.1 503"));
    CHECK(fixture.requests.size() == 1);
    slow->setReadBufferSize(0);
    std::size_t received = 0;
    REQUIRE(wait_until([&] {
        received += slow->readAll().size();
        return received > 8 * megabyte;
    }));
    QTcpSocket later;
    fixture.request(later);
    CHECK(fixture.requests.size() == 2);
}

TEST_CASE(
    "an answer that nobody expected to be so large is given up if it endangers "
    "the process",
    "[router][memory]"
) {
    ingress_with_hosts fixture{1, true, small_budget};
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    for (int count = 0; count < 4; ++count) {
        callers.push_back(std::make_unique<QTcpSocket>());
        callers.back()->setReadBufferSize(1);
        fixture.request(*callers.back());
    }
    for (auto& request : fixture.requests) {
        request.done(answer_of(8 * megabyte));
    }
    callers.back()->setReadBufferSize(0);
    CHECK(status_line(*callers.back()).starts_with("HTTP/1.1 502"));
}
