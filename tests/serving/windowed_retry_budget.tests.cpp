// Guards against retries that multiply the load on a failing service: the
// daemons' shares of the retry budget must add up to no more than the whole,
// however requests are spread over daemons.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/windowed_retry_budget.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <vector>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

TEST_CASE(
    "all daemons together stay within the retry budget",
    "[serving][budget][property]"
) {
    rc::prop("any spread of requests, every one of them failing", [] {
        constexpr std::size_t daemons = 6;
        const windowed_retry_budget_policy policy{0.1, 30, 10s};
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        std::vector<windowed_retry_budget> budgets(daemons);
        std::vector<instant> requests;
        std::vector<instant> retries;
        instant now{24h};
        for (int i = 0; i < 3000; ++i) {
            now += duration{
                static_cast<duration::rep>(random_below(random, 20'000'000))};
            const auto at = random_below(random, daemons);
            count_request(budgets[at], policy, now);
            requests.push_back(now);
            if (take_retry(budgets[at], policy, daemons, now)) {
                retries.push_back(now);
            }
        }
        const auto within = [&](const std::vector<instant>& all,
                                duration span) {
            return std::count_if(all.begin(), all.end(), [&](instant one) {
                return one > now - span;
            });
        };
        // Allows for one bucket, since the window may begin inside one.
        const double allowed =
            0.1 * static_cast<double>(within(requests, 11s)) + 30;
        RC_ASSERT(static_cast<double>(within(retries, 9s)) <= allowed);
    });
}

TEST_CASE(
    "retries are allowed again as the window moves on", "[serving][budget]"
) {
    const windowed_retry_budget_policy policy{0.1, 6, 10s};
    windowed_retry_budget budget;
    instant now{24h};
    int taken = 0;
    while (take_retry(budget, policy, 1, now)) {
        ++taken;
    }
    CHECK(taken == 6);
    CHECK_FALSE(take_retry(budget, policy, 1, now + 5s));
    CHECK(take_retry(budget, policy, 1, now + 11s));
}
