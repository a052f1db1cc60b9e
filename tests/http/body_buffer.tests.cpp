// Guards against a body that changes while it is collected, and against memory
// of a body that isn't counted.

#include <apricotstile/http/internal/body_buffer.hpp>
#include <apricotstile/http/message_reader.hpp>
#include <tests/support/numbered_bytes.hpp>

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace apricotstile::http;
using apricotstile::tests::numbered_bytes;

namespace {

constexpr std::size_t megabyte = 1'000'000;

std::string chunk(std::string_view bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace

TEST_CASE("a body is the same however it arrives", "[http][body]") {
    const std::string body = numbered_bytes(3 * megabyte);
    const std::size_t piece =
        GENERATE(1000U, 65'536U, 1'000'003U, 3U * megabyte);
    const bool is_length_known = GENERATE(true, false);
    internal::body_buffer buffer;
    if (is_length_known) {
        internal::reserve(buffer, body.size());
    }
    for (std::size_t begin = 0; begin < body.size(); begin += piece) {
        internal::append(buffer, std::string_view{body}.substr(begin, piece));
        CHECK(buffer.capacity >= buffer.size);
    }
    CHECK(buffer.size == body.size());
    CHECK(buffer.capacity < body.size() + 2 * megabyte);
    CHECK(internal::take_all(buffer) == body);
    CHECK(buffer.capacity == 0);
}

TEST_CASE("a request counts with all that it holds", "[http][reader][body]") {
    request_reader reader{{16U << 10U, 8U << 20U}};
    SECTION("a body of stated length counts before it arrives") {
        reader.put("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
        CHECK(reader.held_bytes() >= 4 * megabyte);
    }
    SECTION("a chunked body counts as it arrives") {
        reader.put("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::size_t before = reader.held_bytes();
        reader.put(chunk(numbered_bytes(2 * megabyte)));
        CHECK(reader.held_bytes() >= before + 2 * megabyte);
    }
    SECTION("small headers count with what is kept beside them") {
        std::string head = "POST / HTTP/1.1\r\nContent-Length: 1\r\n";
        for (int count = 0; count < 2000; ++count) {
            head += "a:\r\n";
        }
        reader.put(head + "\r\n");
        CHECK(reader.held_bytes() > 200'000);
    }
    SECTION("bytes behind a complete request count") {
        reader.put("GET / HTTP/1.1\r\n\r\n" + numbered_bytes(50'000));
        CHECK(reader.held_bytes() >= 50'000);
        reader.discard_waiting();
        CHECK(reader.held_bytes() < 10'000);
        CHECK(reader.progress() == read_progress::complete);
    }
    SECTION("an unfinished head counts") {
        reader.put("GET / HTTP/1.1\r\nA: " + std::string(15'000, 'a'));
        CHECK(reader.held_bytes() >= 15'000);
    }
    reader.discard();
    CHECK(reader.held_bytes() < 10'000);
}
