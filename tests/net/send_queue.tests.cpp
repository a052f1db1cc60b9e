// Guards against bytes that are lost, repeated or reordered while a connection
// takes them slowly, and against memory that stays when they have been sent.

#include <apricotstile/net/internal/send_queue.hpp>
#include <tests/support/numbered_bytes.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace apricotstile;
using namespace apricotstile::net::internal;
using apricotstile::tests::numbered_bytes;

namespace {

/// What the kernel would get if it took `count` bytes at most.
std::string take(send_queue& queue, std::size_t count) {
    std::string taken;
    for (const std::string_view one : next_unsent(queue, 16)) {
        taken += one.substr(0, count - taken.size());
    }
    note_sent(queue, taken.size());
    return taken;
}

} // namespace

TEST_CASE("unsent bytes leave in order and are freed", "[net][send_queue]") {
    std::minstd_rand random{7};
    send_queue queue;
    std::string expected;
    std::string sent;
    for (int round = 0; round < 400; ++round) {
        const std::size_t count = random() % 200'000;
        std::string bytes = numbered_bytes(count + 1, expected.size());
        if (random() % 2 == 0) {
            push_copy(queue, bytes);
            expected += bytes;
        } else {
            const std::size_t already_sent = random() % bytes.size();
            expected += bytes.substr(already_sent);
            push_shared(queue, shared_bytes{bytes}, already_sent);
        }
        sent += take(queue, random() % 250'000);
        CHECK(queue.unsent_bytes == expected.size() - sent.size());
    }
    while (!queue.pieces.empty()) {
        sent += take(queue, 100'000);
    }
    CHECK(sent == expected);
    CHECK(queue.unsent_bytes == 0);
    CHECK(queue.copied_bytes == 0);
}

TEST_CASE("copies are freed while they are sent", "[net][send_queue]") {
    send_queue queue;
    push_copy(queue, numbered_bytes(8'000'000, 0));
    CHECK(queue.copied_bytes >= 8'000'000);
    while (queue.unsent_bytes > 1'000) {
        take(queue, queue.unsent_bytes - 1'000);
    }
    CHECK(queue.copied_bytes < 200'000);
}
