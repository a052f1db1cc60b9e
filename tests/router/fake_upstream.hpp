// An upstream instance on a loopback port. It answers each request at once. It
// crashes on requests whose target contains "crash", never answers those whose
// target contains "hang", and those with "slow" only when the test says so.

#ifndef APRICOTSTILE_TESTS_ROUTER_FAKE_UPSTREAM_HPP
#define APRICOTSTILE_TESTS_ROUTER_FAKE_UPSTREAM_HPP

#include <apricotstile/directory/entry.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/message.hpp>
#include <tests/http/event_loop.hpp>

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <vector>

namespace apricotstile::tests {

class fake_upstream {
public:
    explicit fake_upstream(const std::string& id);

    [[nodiscard]] address where() const;
    [[nodiscard]] const directory::instance_run& run() const;
    [[nodiscard]] bool is_up() const;
    /// Targets of all requests that it began to run, over all of its runs.
    [[nodiscard]] const std::vector<std::string>& requests() const;
    /// Headers added to each answer.
    void set_extra_headers(std::vector<http::header> headers);
    /// Body of the answers to requests whose target contains "large".
    void set_large_body(std::string body);
    /// Answers the requests whose target contains "slow".
    void answer_slow_requests();
    /// Resets all connections and stops listening.
    void crash();
    /// Starts again as a new run at the same address.
    void restart();

private:
    void handle_connection(QTcpSocket* connection);
    void handle_request(QTcpSocket* connection, const std::string& head);
    void answer(QTcpSocket* connection, const std::string& head) const;

    struct slow_request {
        QPointer<QTcpSocket> connection;
        std::string head;
    };

    QTcpServer server;
    address listen_address{unused_address()};
    directory::instance_run current_run;
    std::vector<std::string> targets;
    std::vector<http::header> extra_headers;
    std::string large_body;
    std::vector<QPointer<QTcpSocket>> connections;
    std::vector<slow_request> slow_requests;
};

} // namespace apricotstile::tests

#endif
