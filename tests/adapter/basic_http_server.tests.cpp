// Guards against announcements that are lost: an instance that ends may close
// its connection right behind its deregistration.

#include <platform/basic_http_server.hpp>

#include <tests/http/event_loop.hpp>
#include <tests/router/blocking_caller.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;

TEST_CASE(
    "a request is handled although its caller has closed the connection",
    "[adapter][departed]"
) {
    tests::need_application();
    const address listen = tests::unused_address();
    net::timer_queue timers;
    std::vector<std::string> targets;
    const basic_http_server server{
        listen,
        timers,
        [&](const http::received_request& request,
            const basic_http_server::responder& respond) {
            targets.push_back(request.target);
            respond({});
        }};
    tests::blocking_caller caller{listen};
    caller.send("POST /deregister HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 2\r\n\r\n{}");
    caller.close();
    REQUIRE(tests::wait_until([&] {
        return !targets.empty();
    }));
    CHECK(targets == std::vector<std::string>{"/deregister"});
}
