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

namespace {

/// Feeds `begin` and then `part` again and again; returns how many bytes the
/// reader accepts before it finds that they are no response.
std::size_t bytes_accepted(const std::string& begin, const std::string& part) {
    constexpr std::uint64_t body_limit = 1U << 20U;
    constexpr std::size_t most = 4U << 20U;
    response_reader reader{body_limit};
    reader.expect("GET");
    std::size_t fed = begin.size();
    read_progress progress = reader.put(begin);
    while (progress == read_progress::incomplete && fed < most) {
        progress = reader.put(part);
        fed += part.size();
    }
    return fed;
}

} // namespace

TEST_CASE("bytes without end are no response", "[http][endless]") {
    constexpr std::size_t most_outside_body = 160U << 10U;
    constexpr std::size_t most_in_body = (1U << 20U) + most_outside_body;
    const std::string line(4096, 'x');
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    SECTION("in the status line") {
        CHECK(bytes_accepted("HTTP/1.1 200 ", line) <= most_outside_body);
    }
    SECTION("without a line's end") {
        CHECK(bytes_accepted("", line) <= most_outside_body);
    }
    SECTION("in a header") {
        CHECK(
            bytes_accepted("HTTP/1.1 200 OK\r\nX: ", line) <= most_outside_body
        );
    }
    SECTION("in headers") {
        CHECK(
            bytes_accepted("HTTP/1.1 200 OK\r\n", "X: " + line + "\r\n") <=
            most_outside_body
        );
    }
    SECTION("in a chunk header") {
        CHECK(bytes_accepted(chunked + "1;", line) <= most_outside_body);
    }
    SECTION("in a trailer") {
        CHECK(bytes_accepted(chunked + "0\r\nX: ", line) <= most_outside_body);
    }
    SECTION("in trailers") {
        CHECK(
            bytes_accepted(chunked + "0\r\n", "X: " + line + "\r\n") <=
            most_outside_body
        );
    }
    SECTION("in a body without a length") {
        CHECK(bytes_accepted("HTTP/1.1 200 OK\r\n\r\n", line) <= most_in_body);
    }
    SECTION("in chunks") {
        CHECK(
            bytes_accepted(chunked, "1000\r\n" + line + "\r\n") <= most_in_body
        );
    }
    SECTION("in empty interim responses") {
        CHECK(
            bytes_accepted("", "HTTP/1.1 100 Continue\r\n\r\n") <=
            most_outside_body
        );
    }
}

TEST_CASE("a request's chunk header has an end", "[http][endless]") {
    request_reader reader{{16U << 10U, 1U << 20U}};
    read_progress progress = reader.put(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;"
    );
    const std::string line(4096, 'x');
    int parts = 0;
    for (; progress == read_progress::incomplete && parts < 100; ++parts) {
        progress = reader.put(line);
    }
    CHECK(parts <= 10);
    CHECK(reader.refusal_status() == 431);
}
