// Guards against a mean service time that follows a noisy neighbor on the
// machine, which moves keys and requests away too late and for too long;
// against statements that are wrong or malformed; and against a change of
// recorded times where instances state nothing.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/service_times.hpp>
#include <apricotstile/serving/stated_load.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
constexpr duration usual_service_time = 40ms;

struct replay_result {
    /// Largest relative error of the mean, once there were 100 requests.
    double worst_mean{0};
    /// Mean relative error of the expected time of the next request.
    double mean_error{0};
};

enum class use { statements, observations };

/// A neighbor that triples service times for 0.4 s on average, a third of the
/// time, and requests one after another at an instance of this speed.
replay_result replay_neighbor(use used, double speed) {
    random_source random{11};
    stated_load load;
    service_times times;
    replay_result result;
    instant now = start;
    instant change = start;
    bool busy = false;
    std::size_t requests = 0;
    double errors = 0;
    while (now < start + 60s) {
        while (change <= now) {
            busy = !busy;
            const double mean_seconds = busy ? 0.4 : 0.8;
            const double uniform =
                static_cast<double>(random_below(random, 1000000) + 1) / 1e6;
            change += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{-std::log(uniform) * mean_seconds}
            );
        }
        const double factor = busy ? 3 : 1;
        const duration usual = scaled(usual_service_time, 1 / speed);
        const duration took = scaled(usual, factor);
        const duration before = read_usual_time(load, now);
        if (times.overall_mean > duration{0}) {
            const double expected =
                static_cast<double>(times.overall_mean.count()) *
                factor_now(load, now);
            errors +=
                std::abs(expected / static_cast<double>(took.count()) - 1);
        }
        now += took;
        duration recorded = took;
        if (used == use::statements) {
            note_stated_factor(load, factor, now);
            recorded = service_time_to_record(
                load,
                took,
                read_usual_time(load, now) - before,
                times.overall_mean
            );
        }
        record_service_time(times, recorded);
        if (++requests > 100) {
            const double error = static_cast<double>(times.overall_mean.count()
                                 ) / static_cast<double>(usual.count()) -
                                 1;
            result.worst_mean = std::max(result.worst_mean, std::abs(error));
        }
    }
    result.mean_error = errors / static_cast<double>(requests);
    return result;
}

} // namespace

TEST_CASE(
    "a noisy neighbor doesn't change an instance's usual service time",
    "[serving][load]"
) {
    for (const double speed : {0.5, 1.0, 1.5}) {
        const replay_result stated = replay_neighbor(use::statements, speed);
        const replay_result observed =
            replay_neighbor(use::observations, speed);
        CAPTURE(
            speed,
            stated.worst_mean,
            observed.worst_mean,
            stated.mean_error,
            observed.mean_error
        );
        CHECK(stated.worst_mean < 0.1);
        CHECK(observed.worst_mean > 0.9);
        CHECK(stated.mean_error < observed.mean_error * 0.6);
    }
}

TEST_CASE("stated loads are parsed", "[serving][load]") {
    for (const std::string& text :
         {std::string{"3,1,14,250"},
          std::string{"3, 1, 14, 250"},
          std::string{"3;1;14;250"},
          std::string{"3/1/14/250"},
          std::string{"3 1 14 250"}}) {
        INFO(text);
        const auto figures = parse_stated_load(text);
        REQUIRE(figures);
        CHECK(figures->running == 3);
        CHECK(figures->waiting == 1);
        CHECK(figures->slots == 14);
        CHECK(figures->factor.value() == Approx(2.5));
    }
    const auto without = parse_stated_load("3,1,14");
    REQUIRE(without);
    CHECK_FALSE(without->factor);
}

TEST_CASE("malformed loads are nothing", "[serving][load]") {
    for (const std::string& text :
         {std::string{""},
          std::string{"3"},
          std::string{"3,1"},
          std::string{"a,b,c"},
          std::string{"3,1,14,"} + "slow",
          std::string{"-3,1,14"},
          std::string{"3,1,14,0"},
          std::string{"3,1,14,-100"},
          std::string{"3,1,14,nan"},
          std::string{"3,1,14,1e99"},
          std::string{"3,1,14,100,7"},
          std::string{"3x1x14"},
          std::string{"1e300,1,14"}}) {
        INFO(text);
        CHECK_FALSE(parse_stated_load(text));
    }
    rc::prop("any text is parsed or refused", [](const std::string& text) {
        const auto figures = parse_stated_load(text);
        RC_ASSERT(
            !figures || !figures->factor ||
            (*figures->factor >= 0.1 && *figures->factor <= 100)
        );
    });
}

TEST_CASE("a statement loses its weight with age", "[serving][load]") {
    stated_load load;
    CHECK(factor_now(load, start) == 1);
    note_stated_factor(load, 4, start);
    CHECK(factor_now(load, start) == Approx(4).epsilon(0.01));
    CHECK(factor_now(load, start + 300ms) == Approx(2).epsilon(0.01));
    CHECK(factor_now(load, start + 5s) == Approx(1).epsilon(0.01));
}

TEST_CASE("a single statement doesn't decide alone", "[serving][load]") {
    stated_load load;
    for (int i = 0; i < 20; ++i) {
        note_stated_factor(load, 1, start + i * 10ms);
    }
    note_stated_factor(load, 3, start + 200ms);
    CHECK(factor_now(load, start + 200ms) < 1.5);
    for (int i = 1; i < 10; ++i) {
        note_stated_factor(load, 3, start + 200ms + i * 10ms);
    }
    CHECK(factor_now(load, start + 290ms) > 2.7);
}

TEST_CASE(
    "without statements the observed times are recorded", "[serving][load]"
) {
    rc::prop("whatever they are", [] {
        stated_load load;
        instant now = start;
        const auto count = *rc::gen::inRange(1, 20);
        for (int i = 0; i < count; ++i) {
            const duration before = read_usual_time(load, now);
            const duration took{*rc::gen::inRange<std::int64_t>(1, 1LL << 40)};
            now += took;
            const duration usual = read_usual_time(load, now) - before;
            RC_ASSERT(usual == took);
            RC_ASSERT(service_time_to_record(load, took, usual, 50ms) == took);
        }
        RC_ASSERT(factor_now(load, now) == 1);
    });
}

TEST_CASE("usual time never runs backwards", "[serving][load]") {
    rc::prop("for any statements", [] {
        stated_load load;
        instant now = start;
        duration last = read_usual_time(load, now);
        const auto count = *rc::gen::inRange(1, 50);
        for (int i = 0; i < count; ++i) {
            now += 1ms * *rc::gen::inRange(0, 2000);
            if (*rc::gen::arbitrary<bool>()) {
                note_stated_factor(load, *rc::gen::inRange(0, 200) * 0.1, now);
            }
            const duration read = read_usual_time(load, now);
            RC_ASSERT(read >= last);
            last = read;
        }
    });
}

TEST_CASE(
    "observations take precedence over statements that contradict them",
    "[serving][load]"
) {
    stated_load load;
    service_times times;
    instant now = start;
    const auto run_requests = [&](double stated, int count) {
        for (int i = 0; i < count; ++i) {
            const duration before = read_usual_time(load, now);
            now += usual_service_time;
            note_stated_factor(load, stated, now);
            const duration usual = read_usual_time(load, now) - before;
            record_service_time(
                times,
                service_time_to_record(
                    load, usual_service_time, usual, times.overall_mean
                )
            );
        }
    };
    run_requests(1, 50);
    // Work goes on as usual, whatever the instance says.
    run_requests(9, 100);
    CHECK_FALSE(is_trusted(load));
    CHECK(factor_now(load, now) == 1);
    CHECK(times.overall_mean > usual_service_time / 2);
    run_requests(1, 100);
    CHECK(is_trusted(load));
    CHECK(times.overall_mean > usual_service_time * 9 / 10);
}
