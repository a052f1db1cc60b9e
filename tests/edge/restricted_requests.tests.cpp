// Guards against a request that is sent to a host in a region that its route
// doesn't allow, by any attempt, and against one that waits though no allowed
// region can serve it.

#include <apricotstile/edge/request_router.hpp>

#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

using namespace apricotstile;
using namespace apricotstile::edge;
using namespace apricotstile::peer;
using namespace std::chrono_literals;

namespace {

using region_list = std::vector<region_id>;

const region_id north{"north"};
const region_id south{"south"};

/// A request router with one host for each of `regions`, the first of which is
/// its own, and a route that allows `allowed`.
struct restricted_ingress {
    struct forwarded_request {
        host_id host;
        request_router_dependencies::response_handler done;
    };

    restricted_ingress(
        const region_list& regions, region_list allowed, bool keyed = false
    )
        : listen(tests::unused_address()), keyed(keyed) {
        tests::need_application();
        for (std::size_t index = 0; index < regions.size(); ++index) {
            directory::member_entry entry;
            entry.host = host_id{index + 1};
            entry.where = {regions[index], {regions[index].value + "-a"}};
            entry.run = incarnation{1};
            entry.revision = 1;
            entry.service = {"s"};
            entry.state = directory::instance_state::ready;
            entry.slots = 4;
            entry.instance = {"i", 1};
            directory::merge_entry(this->known, entry);
        }
        request_router_dependencies dependencies;
        dependencies.self = host_id{1};
        dependencies.where = {regions[0], {regions[0].value + "-a"}};
        dependencies.names.request_id = "Request-Id";
        dependencies.names.remaining_deadline = "Time-Left";
        dependencies.names.key = "Key";
        dependencies.memory = &this->memory;
        dependencies.known = &this->known;
        dependencies.owner_of = [this](const service_id&, keys::key_number) {
            return this->owner;
        };
        dependencies.is_evacuated = [](const location&) {
            return false;
        };
        dependencies.may_serve_keys = [](const location&) {
            return true;
        };
        dependencies.is_reachable = [this](host_id host) {
            return host != this->unresponsive;
        };
        dependencies.quarantine_left = [](const http::received_request&) {
            return std::nullopt;
        };
        dependencies.report_stale_map = [](const service_id&) {};
        dependencies.forward_request =
            [this](
                host_id host,
                routed_request&&,
                request_router_dependencies::response_handler done
            ) {
                this->requests.push_back({host, std::move(done)});
                return [] {};
            };
        this->callers = std::make_unique<request_router>(
            this->listen, this->timers, dependencies
        );
        this->apply_config(1, std::move(allowed));
    }

    void apply_config(std::uint64_t version, region_list allowed) {
        routing::routing_config config;
        config.version = {version};
        routing::route route;
        route.name = "r";
        route.host = "a.example";
        route.prefix = "/x/";
        route.idempotent = true;
        route.timeout = 20s;
        route.target_latency = 1s;
        route.max_instances = 5;
        route.services = {{{"s"}, 1}};
        route.allowed_regions = std::move(allowed);
        config.routes.push_back(route);
        config.services[{"s"}].keyed = this->keyed;
        this->callers->set_config(std::make_shared<const routing::route_table>(
            routing::make_route_table(config)
        ));
    }

    void send(QTcpSocket& caller) const {
        caller.connectToHost(QHostAddress{this->listen.ip}, this->listen.port);
        caller.write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nKey: 1\r\n"
                     "Request-Id: 1\r\nTime-Left: 10000\r\n\r\n");
    }

    void wait_for_requests(std::size_t count) {
        REQUIRE(tests::wait_until([&] {
            return this->requests.size() >= count;
        }));
        REQUIRE(this->requests.size() == count);
    }

    /// Ends the last forwarded request.
    void end_last(serving::attempt_outcome outcome) {
        constexpr std::uint16_t status_ok = 200;
        routed_response response;
        response.outcome = outcome;
        response.status = status_ok;
        // The handler may forward the request again.
        const auto done = this->requests.back().done;
        done(std::move(response));
    }

    directory::directory known;
    address listen;
    bool keyed{false};
    serving::memory_budget memory;
    net::timer_queue timers;
    host_id unresponsive;
    std::optional<host_id> owner;
    std::vector<forwarded_request> requests;
    std::unique_ptr<request_router> callers;
};

/// Waits for the whole head of the response.
std::string response_head(QTcpSocket& caller) {
    std::string received;
    REQUIRE(tests::wait_until([&] {
        received += caller.readAll().toStdString();
        return received.find("\r\n\r\n") != std::string::npos;
    }));
    return received;
}

void check_rejected_as_not_run(QTcpSocket& caller) {
    const std::string head = response_head(caller);
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(head.find("Retry-After: 0.3") != std::string::npos);
}

} // namespace

TEST_CASE(
    "every attempt goes to an allowed region", "[router][ingress][regions]"
) {
    // The caller's own host is in none of them.
    restricted_ingress fixture{{north, south, north, south}, {south}};
    QTcpSocket caller;
    fixture.send(caller);
    fixture.wait_for_requests(1);
    fixture.end_last(serving::attempt_outcome::lost);
    fixture.wait_for_requests(2);
    CHECK(
        fixture.requests[0].host.value + fixture.requests[1].host.value == 2 + 4
    );
    // None is left.
    fixture.end_last(serving::attempt_outcome::lost);
    CHECK(response_head(caller).starts_with("HTTP/1.1 502"));
    CHECK(fixture.requests.size() == 2);
}

TEST_CASE(
    "the second attempt made while a host is unresponsive goes to an allowed "
    "region",
    "[router][ingress][regions]"
) {
    const bool has_another = GENERATE(true, false);
    restricted_ingress fixture{
        {north, south, has_another ? south : north}, {south}};
    QTcpSocket caller;
    fixture.send(caller);
    fixture.wait_for_requests(1);
    fixture.unresponsive = fixture.requests[0].host;
    fixture.callers->handle_unresponsive_peer(fixture.unresponsive);
    REQUIRE(fixture.requests.size() == (has_another ? 2 : 1));
    CHECK(fixture.requests.back().host != host_id{1});
    fixture.end_last(serving::attempt_outcome::answered);
    CHECK(response_head(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a request is rejected at once if no allowed region has an instance",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{north, north}, {south}};
    QTcpSocket caller;
    fixture.send(caller);
    check_rejected_as_not_run(caller);
    CHECK(fixture.requests.empty());
    CHECK(
        fixture.callers->counters().unanswered.at("503_region_not_allowed") == 1
    );
}

TEST_CASE(
    "a request is rejected at once if all instances in its regions are lost",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{north, south}, {south}};
    fixture.unresponsive = host_id{2};
    QTcpSocket caller;
    fixture.send(caller);
    check_rejected_as_not_run(caller);
    CHECK(fixture.requests.empty());
}

TEST_CASE(
    "a refusal by the daemon beside the instance counts as not run",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{north, south}, {}};
    QTcpSocket caller;
    fixture.send(caller);
    fixture.wait_for_requests(1);
    const host_id first = fixture.requests[0].host;
    fixture.end_last(serving::attempt_outcome::refused_region);
    fixture.wait_for_requests(2);
    CHECK(fixture.requests[1].host != first);
    fixture.end_last(serving::attempt_outcome::refused_region);
    check_rejected_as_not_run(caller);
}

TEST_CASE(
    "a restriction that is added while a request is tried binds its retries",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{south, north, north}, {south, north}};
    QTcpSocket caller;
    fixture.send(caller);
    fixture.wait_for_requests(1);
    const bool first_was_in_north = fixture.requests[0].host != host_id{1};
    fixture.apply_config(2, {south});
    fixture.end_last(serving::attempt_outcome::lost);
    if (first_was_in_north) {
        fixture.wait_for_requests(2);
        CHECK(fixture.requests[1].host == host_id{1});
    } else {
        CHECK(response_head(caller).starts_with("HTTP/1.1 502"));
        CHECK(fixture.requests.size() == 1);
    }
}

TEST_CASE(
    "a restriction that is lifted doesn't widen requests that came before",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{north, south}, {south}};
    QTcpSocket caller;
    fixture.send(caller);
    fixture.wait_for_requests(1);
    fixture.apply_config(2, {});
    fixture.end_last(serving::attempt_outcome::lost);
    CHECK(response_head(caller).starts_with("HTTP/1.1 502"));
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE(
    "a request with a key goes to its owner only in an allowed region",
    "[router][ingress][regions]"
) {
    restricted_ingress fixture{{north, south}, {south}, true};
    QTcpSocket caller;
    // An owner of which nothing is known is in no allowed region.
    const auto elsewhere =
        GENERATE(as<std::uint64_t>{}, 1, 3); // north, unknown
    fixture.owner = host_id{elsewhere};
    fixture.send(caller);
    check_rejected_as_not_run(caller);
    CHECK(fixture.requests.empty());
    fixture.owner = host_id{2};
    QTcpSocket next_caller;
    fixture.send(next_caller);
    fixture.wait_for_requests(1);
    CHECK(fixture.requests[0].host == host_id{2});
}
