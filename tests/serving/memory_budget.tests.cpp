// Guards against a daemon that holds more for its callers than its memory
// allows, and against one that refuses small requests because of large ones.

#include <apricotstile/serving/memory_budget.hpp>
#include <apricotstile/serving/memory_reservation.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace apricotstile::serving;

namespace {

constexpr std::size_t kilobyte = 1'000;
constexpr std::size_t megabyte = 1'000'000;

} // namespace

TEST_CASE(
    "sixty downloads of 6 MB at once are held in a process of 260 MB",
    "[serving][memory]"
) {
    memory_budget budget = make_memory_budget(260 * megabyte);
    std::vector<std::unique_ptr<memory_reservation>> accepted;
    for (int caller = 0; caller < 60; ++caller) {
        if (fits(budget, 6 * megabyte)) {
            accepted.push_back(std::make_unique<memory_reservation>(budget));
            accepted.back()->set(6 * megabyte);
        }
    }
    CHECK(accepted.size() == 18);
    CHECK(budget.reserved == 108 * megabyte);
    CHECK(fits(budget, 2 * kilobyte));
    accepted.pop_back();
    CHECK(fits(budget, 6 * megabyte));
    accepted.clear();
    CHECK(budget.reserved == 0);
}

TEST_CASE(
    "the largest body that a configuration allows fits a process of 160 MB",
    "[serving][memory]"
) {
    constexpr std::size_t largest_body = 64U << 20U;
    memory_budget budget = make_memory_budget(160 * megabyte);
    CHECK(fits(budget, largest_body));
    budget.reserved = largest_body;
    CHECK_FALSE(fits(budget, largest_body));
    CHECK(fits(budget, 60 * kilobyte));
}

TEST_CASE(
    "a large message doesn't grow into what small ones have to themselves",
    "[serving][memory]"
) {
    memory_budget budget = make_memory_budget(160 * megabyte);
    budget.reserved = 69 * megabyte;
    CHECK(fits(budget, kilobyte, 20 * megabyte));
    budget.reserved = 70 * megabyte;
    CHECK_FALSE(fits(budget, kilobyte, 20 * megabyte));
    CHECK(missing_bytes(budget, kilobyte, 20 * megabyte) == kilobyte);
    CHECK(fits(budget, kilobyte, 2 * kilobyte));
    budget.reserved = 80 * megabyte;
    CHECK_FALSE(fits(budget, kilobyte, 2 * kilobyte));
}

TEST_CASE(
    "an answer that is larger than expected is delivered up to the hard "
    "limit",
    "[serving][memory]"
) {
    memory_budget budget = make_memory_budget(260 * megabyte);
    budget.reserved = 150 * megabyte;
    CHECK_FALSE(fits(budget, 1));
    CHECK_FALSE(exceeds_hard_limit(budget, 12 * megabyte));
    CHECK(exceeds_hard_limit(budget, 13 * megabyte));
    budget.reserved = 500 * megabyte;
    CHECK(exceeds_hard_limit(budget, 2 * kilobyte));
}

TEST_CASE("without a limit everything fits", "[serving][memory]") {
    const memory_budget budget;
    CHECK(fits(budget, 900 * megabyte));
    CHECK_FALSE(exceeds_hard_limit(budget, 900 * megabyte));
}
