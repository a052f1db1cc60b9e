// Forwarded requests are kept until the test ends them.

#include <tests/edge/ingress_with_hosts.hpp>

#include <apricotstile/serving/held_bytes.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include <utility>

namespace apricotstile::tests {

using namespace edge;
using namespace peer;
using namespace std::chrono_literals;

ingress_with_hosts::ingress_with_hosts(
    std::uint64_t hosts, bool idempotent, const serving::memory_budget& memory
)
    : memory(memory), listen(tests::unused_address()) {
    tests::need_application();
    for (std::uint64_t id = 1; id <= hosts; ++id) {
        directory::member_entry entry;
        entry.host = host_id{id};
        entry.run = incarnation{1};
        entry.revision = 1;
        entry.service = {"s"};
        entry.state = directory::instance_state::ready;
        entry.slots = 4;
        entry.instance = {"i", 1};
        directory::merge_entry(this->known, entry);
    }
    request_router_dependencies dependencies;
    dependencies.names.request_id = "Request-Id";
    dependencies.names.remaining_deadline = "Time-Left";
    dependencies.memory = &this->memory;
    dependencies.known = &this->known;
    dependencies.is_reachable = [this](host_id host) {
        return host != this->unresponsive;
    };
    dependencies.is_evacuated = [this](const location& where) {
        return where.failure_domain == this->evacuated;
    };
    dependencies.may_serve_keys = [](const location&) {
        return true;
    };
    dependencies.quarantine_left = [this](const http::received_request&) {
        return this->quarantined;
    };
    dependencies.report_stale_map = [](const service_id&) {};
    dependencies.forward_request =
        [this](
            host_id host,
            routed_request&&,
            request_router_dependencies::response_handler done
        ) {
            const std::size_t index = this->requests.size();
            this->requests.push_back(
                {host,
                 [this, done = std::move(done)](routed_response&& one) {
                     one.body = serving::hold(one.body, this->memory);
                     done(std::move(one));
                 }}
            );
            if (const auto at_once =
                    std::exchange(this->next_outcome, std::nullopt)) {
                routed_response ended;
                ended.outcome = *at_once;
                const auto handler = this->requests[index].done;
                handler(std::move(ended));
            }
            return [this, index] {
                this->requests[index].cancelled = true;
            };
        };
    this->callers = std::make_unique<request_router>(
        this->listen, this->timers, dependencies
    );
    routing::routing_config config;
    constexpr std::uint64_t max_body_bytes = 16'000'000;
    config.version = {1};
    config.limits.body_bytes = max_body_bytes;
    routing::route route;
    route.name = "r";
    route.host = "a.example";
    route.prefix = "/x/";
    route.idempotent = idempotent;
    route.timeout = 20s;
    route.target_latency = 1s;
    route.max_instances = 2;
    route.services = {{{"s"}, 1}};
    config.routes.push_back(route);
    config.services[{"s"}] = {};
    this->callers->set_config(std::make_shared<const routing::route_table>(
        routing::make_route_table(config)
    ));
}

ingress_with_hosts::~ingress_with_hosts() = default;

void ingress_with_hosts::request(QTcpSocket& caller) {
    const std::size_t before = this->requests.size();
    caller.connectToHost(QHostAddress{this->listen.ip}, this->listen.port);
    caller.write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: 1\r\nTime-Left: 10000\r\n\r\n");
    REQUIRE(tests::wait_until([&] {
        return this->requests.size() > before;
    }));
}

routed_response result(serving::attempt_outcome outcome) {
    constexpr std::uint16_t status_ok = 200;
    routed_response response;
    response.outcome = outcome;
    response.status = status_ok;
    return response;
}

std::string status_line(QTcpSocket& caller) {
    REQUIRE(tests::wait_until([&] {
        return caller.canReadLine();
    }));
    return caller.readLine().trimmed().toStdString();
}

} // namespace apricotstile::tests
