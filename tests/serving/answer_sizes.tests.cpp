// Guards against sizes that don't follow a change and against memory that grows
// with the number of routes.

#include <apricotstile/serving/answer_sizes.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile::serving;

TEST_CASE("the expected size follows the answers of a route", "[serving]") {
    constexpr std::uint32_t route = 1;
    answer_sizes sizes;
    CHECK(expected_answer_bytes(sizes, route) == 0);
    note_answer_size(sizes, route, 1000);
    CHECK(expected_answer_bytes(sizes, route) == Approx(1000));
    for (int i = 0; i < 100; ++i) {
        note_answer_size(sizes, route, 90'000);
    }
    CHECK(expected_answer_bytes(sizes, route) == Approx(90'000).epsilon(0.01));
}

TEST_CASE("the number of routes with a known size is limited", "[serving]") {
    answer_sizes sizes;
    for (std::uint32_t route = 0; route < 10'000; ++route) {
        note_answer_size(sizes, route, 1);
    }
    CHECK(sizes.mean_bytes.size() <= 4096);
}
