// Links that went silent are closed, others are kept.

#include <apricotstile/link/silence.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::link;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};
constexpr duration check_interval = 50ms;

/// A link that is checked by a timer; its peer may answer pings.
struct watched_link {
    silence state = make_silence(start);
    instant now = start;
    bool peer_answers{false};
    int pings{0};
    bool closed{false};

    void run(bool awaited, duration how_long) {
        for (const instant end = this->now + how_long;
             this->now < end && !this->closed;) {
            this->now += check_interval;
            const silence_action action =
                check(this->state, awaited, this->now);
            this->closed = action == silence_action::close;
            if (action == silence_action::ping) {
                ++this->pings;
                if (this->peer_answers) {
                    bytes_heard(this->state, this->now);
                }
            }
        }
    }
};

} // namespace

TEST_CASE("a link with an answer awaited is closed after a silence", "[link]") {
    watched_link link;
    link.run(true, 900ms);
    REQUIRE(link.pings == 1);
    REQUIRE_FALSE(link.closed);
    link.run(true, 200ms);
    REQUIRE(link.closed);
}

TEST_CASE("a link whose peer answers pings is kept", "[link]") {
    // Work that takes long is no reason to give the link up.
    watched_link link;
    link.peer_answers = true;
    link.run(true, 60s);
    REQUIRE_FALSE(link.closed);
    REQUIRE(link.pings > 100);
}

TEST_CASE("a link on which nothing is awaited isn't watched", "[link]") {
    watched_link link;
    link.run(false, 10s);
    REQUIRE(link.pings == 0);
    REQUIRE_FALSE(link.closed);
    // The silence counts from the first request, not from the last byte.
    link.run(true, 900ms);
    REQUIRE_FALSE(link.closed);
}

TEST_CASE("a pause of this side isn't taken for the peer's", "[link]") {
    watched_link link;
    link.run(true, 900ms);
    link.now += 30s;
    link.run(true, 900ms);
    REQUIRE_FALSE(link.closed);
    link.run(true, 300ms);
    REQUIRE(link.closed);
}
