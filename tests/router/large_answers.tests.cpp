// Guards against large answers that delay small ones on a link of known rate,
// that arrive changed because they are sent in parts, or that are held for
// callers that have left; and against a caller who is told that a request
// hasn't run whose answer was given up.

#include <tests/router/daemon_group.hpp>

#include <tests/http/event_loop.hpp>
#include <tests/support/numbered_bytes.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

constexpr double ten_mbit = 1'250'000;

/// Reads the answer until it has `bytes` bytes of body; returns the body.
std::string read_body(QTcpSocket& caller, std::size_t bytes) {
    std::string received;
    const auto body_at = [&] {
        const std::size_t end = received.find("\r\n\r\n");
        return end == std::string::npos ? received.size() : end + 4;
    };
    CHECK(wait_until([&] {
        received += caller.readAll().toStdString();
        return received.size() - body_at() >= bytes;
    }));
    return received.substr(body_at());
}

bool has_held_answers(const daemon_group& group, std::size_t index) {
    return group.describe(index)["egress"]["held"] > 0;
}

daemon_group_options with_link(double bytes_per_second) {
    daemon_group_options options;
    options.link_bytes_per_second = bytes_per_second;
    return options;
}

} // namespace

TEST_CASE(
    "a small answer overtakes the parts of a large one", "[router][egress]"
) {
    daemon_group group{{"s", "t"}, with_link(ten_mbit)};
    // About 47 parts: a busy machine sends few of them in the time of a small
    // request, since a late wake-up makes up for one at most.
    const std::string body = numbered_bytes(1'000'000);
    group.upstream(0).set_large_body(body);
    const auto large = group.begin_request(1, "/s/large");
    REQUIRE(wait_until([&] {
        return has_held_answers(group, 0);
    }));
    CHECK(group.request(1, "/s/small") == 200);
    CHECK(has_held_answers(group, 0));
    CHECK(read_body(*large, body.size()) == body);
    const nlohmann::json egress = group.describe(0)["egress"];
    CHECK(egress["parts"] > 10);
    CHECK(egress["held"] == 0);
    CHECK(egress["held_bytes"] == 0);
}

TEST_CASE(
    "answers of several requests are put together correctly", "[router][egress]"
) {
    daemon_group group{{"s", "t"}, with_link(10 * ten_mbit)};
    const std::string body = numbered_bytes(400'000);
    group.upstream(0).set_large_body(body);
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(group.begin_request(1, "/s/large"));
    }
    for (const auto& one : callers) {
        CHECK(read_body(*one, body.size()) == body);
    }
}

TEST_CASE(
    "answers to callers on the same host don't wait for the link",
    "[router][egress]"
) {
    daemon_group group{{"s", "t"}, with_link(1000)};
    const std::string body = numbered_bytes(500'000);
    group.upstream(0).set_large_body(body);
    const auto caller = group.begin_request(0, "/s/large");
    CHECK(read_body(*caller, body.size()) == body);
    CHECK(group.describe(0)["egress"]["parts"] == 0);
}

TEST_CASE(
    "large answers are sent at once if the link's rate isn't known",
    "[router][egress]"
) {
    daemon_group group{{"s", "t"}};
    const std::string body = numbered_bytes(500'000);
    group.upstream(0).set_large_body(body);
    const auto caller = group.begin_request(1, "/s/large");
    CHECK(read_body(*caller, body.size()) == body);
    CHECK(group.describe(0)["egress"]["parts"] == 0);
}

TEST_CASE(
    "a caller that doesn't read its answers holds few of them in memory",
    "[router][egress]"
) {
    constexpr std::size_t request_count = 30;
    daemon_group group{{"s", "t"}};
    const std::string body = numbered_bytes(4'000'000);
    group.upstream(0).set_large_body(body);
    const std::unique_ptr<QTcpSocket> caller =
        group.begin_request(0, "/s/large");
    // Not even into the socket's own buffer.
    caller->setReadBufferSize(1);
    for (std::size_t i = 1; i < request_count; ++i) {
        const std::string head =
            "GET /s/large HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p" +
            std::to_string(i) + "\r\nTime-Left: 5000\r\n\r\n";
        caller->write(head.c_str());
    }
    REQUIRE(wait_until([&] {
        return group.runs_of("/s/large") > 0;
    }));
    // Time for the others to run if they did.
    for (int i = 0; i < 500; ++i) {
        REQUIRE(group.request(0, "/s/small") == 200);
    }
    // The kernel's buffers take some.
    const std::size_t runs = group.runs_of("/s/large");
    CHECK(runs < request_count / 2);
    caller->setReadBufferSize(0);
    std::size_t received = 0;
    CHECK(wait_until([&] {
        received += static_cast<std::size_t>(caller->readAll().size());
        return received >= request_count * body.size();
    }));
    CHECK(group.runs_of("/s/large") == request_count);
}

TEST_CASE("an answer is dropped when its caller leaves", "[router][egress]") {
    daemon_group group{{"s", "t"}, with_link(ten_mbit / 10)};
    group.upstream(0).set_large_body(numbered_bytes(300'000));
    auto caller = group.begin_request(1, "/s/large");
    REQUIRE(wait_until([&] {
        return has_held_answers(group, 0);
    }));
    SECTION("the caller closes its connection") {
        caller.reset();
    }
    SECTION("its daemon is lost") {
        group.stop_daemon(1);
    }
    CHECK(wait_until([&] {
        return !has_held_answers(group, 0);
    }));
    CHECK(group.describe(0)["egress"]["held_bytes"] == 0);
    CHECK(group.describe(0)["egress"]["given_up_late"] == 0);
    CHECK(group.request(0, "/s/small") == 200);
}

TEST_CASE(
    "an answer that can't be in time isn't sent, and the next request is "
    "refused unrun",
    "[router][egress]"
) {
    constexpr int gateway_timeout = 504;
    constexpr int unavailable = 503;
    daemon_group group{{"s", "t"}, with_link(20'000)};
    group.upstream(0).set_large_body(numbered_bytes(3'000'000));
    // Requests of unknown origin may be nested, and are never refused.
    for (int i = 0; i < 40; ++i) {
        REQUIRE(group.request(0, "/s/small") == 200);
        REQUIRE(group.request(1, "/s/small") == 200);
    }
    CHECK(group.request(1, "/s/large/1") == gateway_timeout);
    CHECK(group.runs_of("/s/large/1") == 1);
    CHECK(group.describe(0)["egress"]["given_up_late"] == 1);
    CHECK(group.request(1, "/s/large/2") == unavailable);
    CHECK(group.runs_of("/s/large/2") == 0);
    CHECK(group.describe(0)["egress"]["refused"] == 1);
}
