// Guards against messages that are parsed wrongly when they arrive in pieces,
// and against truncated messages that are taken for complete ones.

#include <apricotstile/http/message_reader.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace apricotstile::http;

TEST_CASE("a request split at any byte is parsed", "[http][reader]") {
    rc::prop("any split", [] {
        const std::string bytes =
            "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
            "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        const auto cut = *rc::gen::inRange<std::size_t>(1, bytes.size());
        request_reader reader{{}};
        RC_ASSERT(
            reader.put(std::string_view{bytes}.substr(0, cut)) ==
            read_progress::incomplete
        );
        RC_ASSERT(
            reader.put(std::string_view{bytes}.substr(cut)) ==
            read_progress::complete
        );
        const received_request request = reader.take();
        RC_ASSERT(request.method == "POST");
        RC_ASSERT(request.target == "/a?b=c");
        RC_ASSERT(request.body == "abcde");
        RC_ASSERT(request.headers.size() == 2U);
        RC_ASSERT(request.keep_alive);
    });
}

TEST_CASE("pipelined requests are parsed in order", "[http][reader]") {
    request_reader reader{{}};
    REQUIRE(
        reader.put("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                   "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        ) == read_progress::complete
    );
    CHECK(reader.take().target == "/1");
    REQUIRE(reader.progress() == read_progress::complete);
    CHECK(reader.take().target == "/2");
    CHECK(reader.progress() == read_progress::incomplete);
    CHECK_FALSE(reader.has_begun());
}

TEST_CASE("each request error has its own status", "[http][reader]") {
    request_reader large_headers{{64, 8}};
    CHECK(
        large_headers.put("GET / HTTP/1.1\r\nX: " + std::string(200, 'x')) ==
        read_progress::malformed
    );
    CHECK(large_headers.refusal_status() == 431);
    request_reader body{{1024, 8}};
    CHECK(
        body.put("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n") ==
        read_progress::malformed
    );
    CHECK(body.refusal_status() == 413);
    request_reader invalid_request{{}};
    CHECK(
        invalid_request.put("no request\r\n\r\n") == read_progress::malformed
    );
    CHECK(invalid_request.refusal_status() == 400);
}

TEST_CASE("a request with two body lengths is refused", "[http][reader]") {
    request_reader reader{{}};
    CHECK(
        reader.put("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        ) == read_progress::malformed
    );
}

TEST_CASE("a truncated response is malformed", "[http][reader]") {
    response_reader reader{1024};
    reader.expect("GET");
    CHECK(
        reader.put("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") ==
        read_progress::incomplete
    );
    CHECK(reader.put_end() == read_progress::malformed);
}

TEST_CASE("a response without a length ends on close", "[http][reader]") {
    response_reader reader{1024};
    reader.expect("GET");
    CHECK(
        reader.put("HTTP/1.1 200 OK\r\n\r\nabc") == read_progress::incomplete
    );
    REQUIRE(reader.put_end() == read_progress::complete);
    const received_response response = reader.take();
    CHECK(response.body == "abc");
    CHECK_FALSE(response.keep_alive);
}

TEST_CASE("interim responses and idle timeouts are parsed", "[http][reader]") {
    response_reader reader{1024};
    reader.expect("GET");
    REQUIRE(
        reader.put("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n"
                   "Keep-Alive: timeout=7, max=9\r\n\r\nextra"
        ) == read_progress::complete
    );
    const received_response response = reader.take();
    CHECK(response.status == 204);
    CHECK(response.idle_timeout_s == 7U);
    CHECK(reader.has_unread_bytes());
}
