// A broken connection must not count as a crash of the upstream, and a request
// that crashes every upstream must be quarantined on all hosts. Without this, a
// caller that retries such a request takes down one host after another.

#include <apricotstile/upstream/crash_watch.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::upstream;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

crash_witness witness(std::uint64_t id) {
    return {fingerprint{id}, {}};
}

crash_watch watch_of(std::uint64_t host) {
    crash_watch watch;
    watch.suspects.self = {host_id{host}, incarnation{1}};
    return watch;
}

} // namespace

TEST_CASE(
    "lost connections to a running upstream count against no request",
    "[upstream]"
) {
    crash_watch watch = watch_of(1);
    note_lost(watch, witness(7), start);
    CHECK(note_answered(watch, fingerprint{8}, start + 5ms).empty());
    CHECK(note_down(watch, start + 1s).empty());
}

TEST_CASE("a crash counts once against each request in flight", "[upstream]") {
    crash_watch watch = watch_of(1);
    note_lost(watch, witness(7), start);
    note_lost(watch, witness(8), start);
    CHECK(note_down(watch, start + 5ms).size() == 2);
    CHECK(note_down(watch, start + 6ms).empty());
}

TEST_CASE(
    "a request that crashes upstreams on several hosts is refused by all",
    "[upstream][quarantine]"
) {
    std::vector<crash_watch> hosts{watch_of(1), watch_of(2), watch_of(3)};
    const fingerprint poison{7};
    instant now = start;
    std::uint64_t innocent = 100;
    for (crash_watch& host : hosts) {
        REQUIRE(judge(host.suspects, poison, now).verdict != verdict::refuse);
        const bool alone =
            judge(host.suspects, poison, now).verdict == verdict::run_alone;
        note_lost(host, witness(poison.value), now);
        for (int i = 0; !alone && i < 5; ++i) {
            note_lost(host, witness(++innocent), now);
        }
        for (const suspicion_report& report : note_down(host, now)) {
            for (crash_watch& other : hosts) {
                if (&other != &host) {
                    merge(other.suspects, report, now);
                }
            }
        }
        now += 1s;
    }
    for (crash_watch& host : hosts) {
        CHECK(judge(host.suspects, poison, now).verdict == verdict::refuse);
        CHECK(
            judge(host.suspects, fingerprint{101}, now).verdict == verdict::run
        );
    }
}

TEST_CASE("an answer resets the crash counts of a request", "[upstream]") {
    crash_watch watch = watch_of(1);
    for (int i = 0; i < 2; ++i) {
        note_lost(watch, witness(7), start);
        static_cast<void>(note_down(watch, start));
    }
    CHECK(
        judge(watch.suspects, fingerprint{7}, start).verdict ==
        verdict::run_alone
    );
    CHECK(note_answered(watch, fingerprint{7}, start + 1s).size() == 1);
    CHECK(
        judge(watch.suspects, fingerprint{7}, start + 1s).verdict ==
        verdict::run
    );
}
