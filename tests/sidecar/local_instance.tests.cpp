// Guards against a request that crashes one instance after the other: what was
// in flight when an instance went down must be reported and, after three
// crashes, refused. A lost answer alone must not count as a crash.

#include <apricotstile/sidecar/local_instance.hpp>

#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <optional>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::http;
using namespace apricotstile::peer;
using namespace apricotstile::sidecar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

/// An instance that resets the connection of each request except one for
/// "/good", and with `crashes` also stops listening. It never answers "/hang";
/// its answers to "/loaded" and "/odd" state its load;
/// with `errors` it answers everything else with an error of its own.
struct crashing_instance {
    crashing_instance() {
        tests::need_application();
        REQUIRE(this->server.listen(QHostAddress::LocalHost));
        QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
            QTcpSocket* const caller = this->server.nextPendingConnection();
            QObject::connect(caller, &QTcpSocket::readyRead, [this, caller] {
                const QByteArray read = caller->readAll();
                if (read.startsWith("GET /good")) {
                    caller->write("HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                  "Content-Length: 0\r\n\r\n");
                    return;
                }
                if (read.startsWith("GET /loaded")) {
                    caller->write("HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                  "Server-Load: 3,1,14,9000\r\n"
                                  "Content-Length: 0\r\n\r\n");
                    return;
                }
                if (read.startsWith("GET /odd")) {
                    caller->write("HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                  "Server-Load: 3,1,14,slow\r\n"
                                  "Connection: close\r\n"
                                  "Content-Length: 0\r\n\r\n");
                    return;
                }
                if (read.startsWith("GET /hang")) {
                    return;
                }
                if (this->errors) {
                    caller->write("HTTP/1.1 500 Error\r\n"
                                  "Content-Length: 0\r\n\r\n");
                    return;
                }
                if (this->crashes) {
                    this->server.close();
                }
                caller->abort();
            });
        });
    }

    QTcpServer server;
    bool crashes{true};
    bool errors{false};
};

struct local_daemon {
    explicit local_daemon(const crashing_instance& crashing)
        : local_daemon(crashing.server.serverPort()) {}

    explicit local_daemon(std::uint16_t port) : port(port) {
        this->names.request_id = "Request-Id";
        this->names.signature = "Signature";
        this->names.not_executed = "Not-Executed";
        this->names.server_load = "Server-Load";
        this->instance = std::make_unique<local_instance>(
            address{loopback, this->port},
            this->names,
            this->timers,
            this->memory,
            [](keys::key_number) {
                return true;
            },
            [this](std::vector<upstream::crash_report>&& reports) {
                ++this->crashes;
                this->reported += reports.size();
            },
            [] {}
        );
        this->instance->set_instance({"i", 1}, 4);
        this->instance->set_open(true);
    }

    serving::work_id submit(
        const std::string& target,
        std::optional<serving::attempt_outcome>& outcome,
        duration time_to_deadline = 5s
    ) {
        routed_request request;
        request.method = "GET";
        request.target = target;
        request.time_to_target = 1s;
        request.time_to_deadline = time_to_deadline;
        return this->instance->submit(
            std::move(request),
            {"caller"},
            [&](routed_response&& response) {
                outcome = response.outcome;
            }
        );
    }

    serving::attempt_outcome
    run(const std::string& target, duration time_to_deadline = 5s) {
        std::optional<serving::attempt_outcome> outcome;
        this->submit(target, outcome, time_to_deadline);
        REQUIRE(tests::wait_until([&] {
            return outcome.has_value();
        }));
        return *outcome;
    }

    std::uint16_t port;
    header_names names;
    serving::memory_budget memory;
    net::timer_queue timers;
    /// Crashes and fingerprints that were reported.
    std::size_t crashes{0};
    std::size_t reported{0};
    std::unique_ptr<local_instance> instance;
};

} // namespace

TEST_CASE(
    "a request that crashes the instance is reported", "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    CHECK(daemon.run("/bad") == serving::attempt_outcome::lost);
    CHECK(daemon.reported == 0);
    CHECK(daemon.run("/next") == serving::attempt_outcome::refused_closed);
    CHECK(daemon.crashes == 1);
    // By content and sender, and by content alone.
    CHECK(daemon.reported == 2);
}

TEST_CASE(
    "a lost answer alone doesn't count as a crash", "[router][instance]"
) {
    crashing_instance crashing;
    crashing.crashes = false;
    local_daemon daemon{crashing};
    CHECK(daemon.run("/bad") == serving::attempt_outcome::lost);
    CHECK(daemon.run("/good") == serving::attempt_outcome::answered);
    daemon.instance->set_instance({"i", 2}, 4);
    CHECK(daemon.reported == 0);
}

TEST_CASE("a request that crashed three instances is refused", "[router]") {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    for (std::int64_t started_ms = 2; started_ms < 5; ++started_ms) {
        CHECK(daemon.run("/bad") == serving::attempt_outcome::lost);
        REQUIRE(crashing.server.listen(QHostAddress::LocalHost, daemon.port));
        daemon.instance->set_instance({"i", started_ms}, 4);
        daemon.instance->set_open(true);
    }
    CHECK(daemon.run("/bad") == serving::attempt_outcome::refused_quarantined);
    CHECK(daemon.run("/good") == serving::attempt_outcome::answered);
}

TEST_CASE(
    "a request that an instance left without an answer counts at its crash",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    SECTION("its deadline passed") {
        CHECK(daemon.run("/hang", 50ms) == serving::attempt_outcome::timed_out);
    }
    SECTION("its caller left") {
        std::optional<serving::attempt_outcome> outcome;
        daemon.instance->withdraw(daemon.submit("/hang", outcome));
    }
    daemon.instance->set_instance({"i", 2}, 4);
    CHECK(daemon.crashes == 1);
}

TEST_CASE(
    "a crash is reported although no other request follows",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    CHECK(daemon.run("/bad") == serving::attempt_outcome::lost);
    CHECK(tests::wait_until([&] {
        return daemon.crashes == 1;
    }));
}

TEST_CASE(
    "an instance that falls silent has crashed as far as its requests count",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    CHECK(daemon.run("/hang", 50ms) == serving::attempt_outcome::timed_out);
    daemon.instance->handle_silence();
    CHECK(daemon.crashes == 1);
}

TEST_CASE(
    "an error of the instance doesn't clear a request of its crashes",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    for (std::int64_t started_ms = 2; started_ms < 5; ++started_ms) {
        crashing.errors = true;
        CHECK(daemon.run("/bad") == serving::attempt_outcome::answered);
        crashing.errors = false;
        CHECK(daemon.run("/bad") == serving::attempt_outcome::lost);
        REQUIRE(crashing.server.listen(QHostAddress::LocalHost, daemon.port));
        daemon.instance->set_instance({"i", started_ms}, 4);
        daemon.instance->set_open(true);
    }
    CHECK(daemon.run("/bad") == serving::attempt_outcome::refused_quarantined);
}

namespace {

/// "/bad" crashes another daemon's instance `crashes` times, which that daemon
/// reports.
void report_crashes_elsewhere(
    crashing_instance& crashing, local_daemon& daemon, int crashes
) {
    local_daemon elsewhere{crashing};
    std::int64_t started_ms = 1;
    for (int i = 0; i < crashes; ++i) {
        CHECK(elsewhere.run("/bad") == serving::attempt_outcome::lost);
        REQUIRE(crashing.server.listen(QHostAddress::LocalHost, daemon.port));
        elsewhere.instance->set_instance({"i", ++started_ms}, 4);
    }
    for (const upstream::crash_report& report : upstream::report_all(
             elsewhere.instance->request_quarantine(), boot_clock::now()
         )) {
        daemon.instance->handle_crash_report(host_id{2}, report);
    }
}

} // namespace

TEST_CASE(
    "a waiting request that is quarantined meanwhile doesn't start",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    daemon.instance->set_instance({"i", 2}, 1);
    std::optional<serving::attempt_outcome> running;
    std::optional<serving::attempt_outcome> waiting;
    const serving::work_id hanging = daemon.submit("/hang", running);
    daemon.submit("/bad", waiting);
    report_crashes_elsewhere(crashing, daemon, 3);
    daemon.instance->withdraw(hanging);
    REQUIRE(tests::wait_until([&] {
        return waiting.has_value();
    }));
    CHECK(*waiting == serving::attempt_outcome::refused_quarantined);
}

TEST_CASE(
    "a waiting request that becomes suspected meanwhile runs alone",
    "[router][instance]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    daemon.instance->set_instance({"i", 2}, 2);
    std::optional<serving::attempt_outcome> running;
    std::optional<serving::attempt_outcome> waiting;
    const serving::work_id first = daemon.submit("/hang", running);
    const serving::work_id second = daemon.submit("/hang", running);
    daemon.submit("/bad", waiting);
    report_crashes_elsewhere(crashing, daemon, 2);
    daemon.instance->withdraw(first);
    CHECK(daemon.instance->load().running == 1);
    CHECK(daemon.instance->load().waiting == 1);
    daemon.instance->withdraw(second);
    CHECK(daemon.instance->load().running == 1);
    CHECK(daemon.instance->load().waiting == 0);
    REQUIRE(tests::wait_until([&] {
        return waiting.has_value();
    }));
    CHECK(*waiting == serving::attempt_outcome::lost);
    daemon.instance->set_instance({"i", 3}, 2);
    CHECK(daemon.run("/bad") == serving::attempt_outcome::refused_quarantined);
}

namespace {

/// An instance whose answers have bodies without end.
struct endless_instance {
    endless_instance() {
        tests::need_application();
        REQUIRE(this->server.listen(QHostAddress::LocalHost));
        QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
            QTcpSocket* const caller = this->server.nextPendingConnection();
            QObject::connect(caller, &QTcpSocket::readyRead, [this, caller] {
                caller->readAll();
                caller->write("HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n");
                this->send_more(*caller);
            });
            QObject::connect(caller, &QTcpSocket::bytesWritten, [this, caller] {
                this->send_more(*caller);
            });
        });
    }

    void send_more(QTcpSocket& caller) {
        constexpr qint64 most_buffered = 1 << 16;
        if (caller.bytesToWrite() < most_buffered) {
            const std::string part(most_buffered, 'x');
            caller.write(part.c_str(), most_buffered);
            this->sent += part.size();
        }
    }

    QTcpServer server;
    std::size_t sent{0};
};

} // namespace

TEST_CASE(
    "answers without end take no more memory than one answer may have",
    "[router][instance][endless]"
) {
    constexpr std::size_t answers = 8;
    constexpr std::size_t most_in_memory = 16U << 20U;
    // Each connection's socket buffers hold some more.
    constexpr std::size_t most_sent = most_in_memory + answers * (8U << 20U);
    endless_instance endless;
    local_daemon daemon{endless.server.serverPort()};
    daemon.instance->set_instance({"i", 1}, answers);
    std::vector<std::optional<serving::attempt_outcome>> outcomes(answers);
    for (auto& one : outcomes) {
        daemon.submit("/endless", one, 15s);
    }
    std::size_t largest = 0;
    REQUIRE(tests::wait_until([&] {
        largest = std::max(largest, daemon.instance->unfinished_answer_bytes());
        return std::all_of(
            outcomes.begin(),
            outcomes.end(),
            [](const auto& one) {
                return one.has_value();
            }
        );
    }));
    CHECK(largest <= most_in_memory);
    CHECK(endless.sent <= most_sent);
    for (const auto& one : outcomes) {
        CHECK(*one == serving::attempt_outcome::lost);
    }
}

TEST_CASE(
    "a stated load counts in the reported mean, but not for keys",
    "[router][instance][load]"
) {
    crashing_instance crashing;
    local_daemon daemon{crashing};
    CHECK(daemon.run("/odd") == serving::attempt_outcome::answered);
    CHECK(daemon.instance->stated_factor() == 1);
    CHECK(daemon.run("/loaded") == serving::attempt_outcome::answered);
    CHECK(daemon.instance->stated_factor() > 1);
    daemon.instance->set_keyed(true);
    const duration usual = daemon.instance->load().mean_service_time;
    daemon.instance->set_keyed(false);
    CHECK(daemon.instance->load().mean_service_time > usual);
    // Nothing of it is left for the next run.
    daemon.instance->set_instance({"i", 2}, 4);
    CHECK(daemon.instance->stated_factor() == 1);
}

// Guards against estimates that aren't learned from answers, or that outlive
// the run of the instance that they are of.
TEST_CASE("work is learned by route and by run", "[router][instance]") {
    crashing_instance answering;
    local_daemon daemon{answering};
    routed_request request;
    request.method = "GET";
    request.target = "/good";
    const auto expected = [&](std::uint32_t route) {
        request.route_hash = route;
        return daemon.instance->expected_service_time(request, {"caller"});
    };
    const duration before = expected(0);
    CHECK(daemon.run("/good") == serving::attempt_outcome::answered);
    const duration mean = daemon.instance->load().mean_service_time;
    CHECK(expected(1) == mean);
    CHECK(expected(0) != mean);
    CHECK(expected(0) != before);
    daemon.instance->set_instance({"i", 2}, 4);
    CHECK(expected(0) == before);
}
