// Guards against requests that reach an instance after their callers have left
// (GONE): on each hop, a request whose caller is known to have left by what has
// arrived must not be passed on.

#include <tests/http/event_loop.hpp>
#include <tests/router/blocking_caller.hpp>
#include <tests/router/daemon_group.hpp>
#include <tests/router/scripted_peer.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

std::string request_bytes(const std::string& target) {
    return "GET " + target +
           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + target +
           "\r\nTime-Left: 5000\r\n\r\n";
}

/// Serves one request. All that arrived before it has been handled then, and
/// the instance has a connection for the next one.
void serve_one(daemon_group& group, std::size_t index) {
    CHECK(group.request(index, "/s/other") == 200);
}

} // namespace

TEST_CASE(
    "a request whose caller left while the daemon was blocked isn't sent on",
    "[router][departed]"
) {
    daemon_group group{{"s", "t"}};
    serve_one(group, 0);
    // At the instance's own daemon, and at another one.
    const std::size_t index = GENERATE(0U, 1U);
    blocking_caller caller{group.caller_address(index)};
    SECTION("on a new connection") {}
    SECTION("on a kept connection") {
        caller.send(request_bytes("/s/first"));
        std::string answer;
        REQUIRE(wait_until([&] {
            answer += caller.read_available();
            return answer.ends_with("\r\n\r\n");
        }));
    }
    caller.send(request_bytes("/s/abandoned"));
    caller.close();
    serve_one(group, index);
    CHECK(group.runs_of("/s/abandoned") == 0);
}

TEST_CASE(
    "a request that its sender has cancelled on the same link isn't dispatched",
    "[router][departed]"
) {
    daemon_group group{{"s", "t"}};
    serve_one(group, 0);
    scripted_peer peer{group.peer_address(0)};
    peer.add_request(1, "/s/cancelled");
    peer.add_request(2, "/s/kept");
    peer.add_cancellation(1);
    peer.send();
    REQUIRE(wait_until([&] {
        return group.runs_of("/s/kept") == 1;
    }));
    serve_one(group, 0);
    CHECK(group.runs_of("/s/cancelled") == 0);
}

TEST_CASE(
    "a request whose sender has closed the link isn't dispatched",
    "[router][departed]"
) {
    daemon_group group{{"s", "t"}};
    serve_one(group, 0);
    {
        scripted_peer peer{group.peer_address(0)};
        peer.add_request(1, "/s/abandoned");
        peer.send();
    }
    serve_one(group, 0);
    CHECK(group.runs_of("/s/abandoned") == 0);
}

TEST_CASE(
    "a waiting request whose caller left doesn't start", "[router][departed]"
) {
    daemon_group group{{"s", "t"}};
    const std::size_t index = GENERATE(0U, 1U);
    std::vector<std::unique_ptr<blocking_caller>> running;
    constexpr std::size_t slots = 4;
    for (std::size_t i = 0; i < slots; ++i) {
        running.push_back(
            std::make_unique<blocking_caller>(group.caller_address(index))
        );
        running.back()->send(request_bytes("/s/hang"));
    }
    REQUIRE(wait_until([&] {
        return group.runs_of("/s/hang") == slots;
    }));
    blocking_caller waiting{group.caller_address(index)};
    waiting.send(request_bytes("/s/waiting"));
    REQUIRE(wait_until([&] {
        return group.describe(0)["instance"]["waiting"] == 1;
    }));
    waiting.close();
    REQUIRE(wait_until([&] {
        return group.describe(0)["instance"]["waiting"] == 0;
    }));
    running.clear();
    REQUIRE(wait_until([&] {
        return group.describe(0)["instance"]["running"] == 0;
    }));
    serve_one(group, index);
    CHECK(group.runs_of("/s/waiting") == 0);
}
