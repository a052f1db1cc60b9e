// A broken connection must not count as a crash of the upstream, and a request
// that crashes every upstream must be quarantined on all hosts. Without this, a
// caller that retries such a request takes down one host after another.

#include <apricotstile/upstream/crash_detector.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

request_identity identity(std::uint64_t id) {
    constexpr std::uint64_t content_offset = 1000000;
    return {fingerprint{id}, fingerprint{id + content_offset}};
}

/// The connection of request `id` breaks, 10 ms after it was sent.
void note_broken(crash_detector& detector, std::uint64_t id, instant now) {
    note_lost_request(
        detector,
        {identity(id), {}},
        request_loss::connection_broke,
        now - 10ms,
        now
    );
}

/// Request `id`, sent at `sent`, is given up.
void note_given_up(
    crash_detector& detector, std::uint64_t id, instant sent, instant now
) {
    note_lost_request(
        detector, {identity(id), {}}, request_loss::given_up, sent, now
    );
}

/// How many crashes count as ones at which request `id` ran alone.
std::uint32_t
alone_count(const crash_detector& detector, std::uint64_t id, instant now) {
    return describe(detector.request_quarantine, identity(id).from_sender, now)
        .alone;
}

crash_detector detector_of(std::uint64_t host) {
    crash_detector detector;
    detector.request_quarantine.self = {host_id{host}, incarnation{1}};
    return detector;
}

} // namespace

TEST_CASE(
    "lost connections to a running upstream count against no request",
    "[upstream]"
) {
    crash_detector detector = detector_of(1);
    note_broken(detector, 7, start);
    note_answered(detector, start + 1ms);
    CHECK(note_crash(detector, start + 1s).empty());
}

TEST_CASE("a crash counts once against each request in flight", "[upstream]") {
    crash_detector detector = detector_of(1);
    note_broken(detector, 7, start);
    note_broken(detector, 8, start);
    // Once by content and sender, and once by content alone.
    CHECK(note_crash(detector, start + 5ms).size() == 4);
    CHECK(note_crash(detector, start + 6ms).empty());
}

TEST_CASE(
    "a request that crashes upstreams on several hosts is refused by all",
    "[upstream][quarantine]"
) {
    std::vector<crash_detector> hosts{
        detector_of(1), detector_of(2), detector_of(3)};
    const request_identity poison = identity(7);
    instant now = start;
    std::uint64_t innocent = 100;
    for (crash_detector& host : hosts) {
        REQUIRE(
            decide(host.request_quarantine, poison, now).action !=
            quarantine_action::refuse
        );
        const bool alone =
            decide(host.request_quarantine, poison, now).action ==
            quarantine_action::run_alone;
        note_broken(host, 7, now);
        for (int i = 0; !alone && i < 5; ++i) {
            note_broken(host, ++innocent, now);
        }
        for (const crash_report& report : note_crash(host, now)) {
            for (crash_detector& other : hosts) {
                if (&other != &host) {
                    merge(other.request_quarantine, report, now);
                }
            }
        }
        now += 1s;
    }
    for (crash_detector& host : hosts) {
        CHECK(
            decide(host.request_quarantine, poison, now).action ==
            quarantine_action::refuse
        );
        CHECK(
            decide(host.request_quarantine, identity(101), now).action ==
            quarantine_action::run
        );
    }
}

TEST_CASE(
    "a completed run resets the crash counts of a request", "[upstream]"
) {
    crash_detector detector = detector_of(1);
    for (int i = 0; i < 2; ++i) {
        note_broken(detector, 7, start);
        static_cast<void>(note_crash(detector, start));
    }
    CHECK(
        decide(detector.request_quarantine, identity(7), start).action ==
        quarantine_action::run_alone
    );
    CHECK(note_completed(detector, identity(7), start + 1s).size() == 2);
    CHECK(
        decide(detector.request_quarantine, identity(7), start + 1s).action ==
        quarantine_action::run
    );
}

TEST_CASE(
    "an answer from before a crash doesn't hide what was in flight at it",
    "[upstream]"
) {
    crash_detector detector = detector_of(1);
    note_broken(detector, 7, start);
    note_answered(detector, start - 1ms);
    CHECK(note_crash(detector, start + 5ms).size() == 2);
}

TEST_CASE(
    "a request runs alone although others have ended before it was sent",
    "[upstream]"
) {
    crash_detector detector = detector_of(1);
    SECTION("by their deadline or their caller") {
        note_given_up(detector, 8, start - 100ms, start - 20ms);
    }
    SECTION("as their connections broke") {
        note_broken(detector, 8, start - 20ms);
    }
    note_broken(detector, 7, start);
    static_cast<void>(note_crash(detector, start + 5ms));
    CHECK(alone_count(detector, 7, start + 5ms) == 1);
    CHECK(alone_count(detector, 8, start + 5ms) == 0);
}

TEST_CASE(
    "a request whose upstream falls silent runs alone although others followed",
    "[upstream]"
) {
    crash_detector detector = detector_of(1);
    note_given_up(detector, 7, start, start + 500ms);
    note_given_up(detector, 8, start + 510ms, start + 900ms);
    note_given_up(detector, 9, start + 520ms, start + 910ms);
    static_cast<void>(note_crash(detector, start + 2s));
    CHECK(alone_count(detector, 7, start + 2s) == 1);
    CHECK(alone_count(detector, 8, start + 2s) == 0);
}

TEST_CASE("of requests that ran together none counts as alone", "[upstream]") {
    crash_detector detector = detector_of(1);
    SECTION("their connections broke") {
        note_broken(detector, 7, start);
        note_broken(detector, 8, start);
    }
    SECTION("the upstream fell silent") {
        note_given_up(detector, 7, start, start + 500ms);
        note_given_up(detector, 8, start + 100ms, start + 900ms);
    }
    static_cast<void>(note_crash(detector, start + 2s));
    CHECK(alone_count(detector, 7, start + 2s) == 0);
    CHECK(alone_count(detector, 8, start + 2s) == 0);
}
