// What an admission decision costs with many customers listed and in use.

#include <apricotstile/core/random.hpp>
#include <apricotstile/share/ingress.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace {

using namespace apricotstile;
using namespace std::chrono_literals;

const service_id service{"registry"};

void measure_admission(std::size_t customers) {
    // Every fiftieth customer is in use.
    constexpr std::size_t spacing = 50;
    const std::size_t active = customers / spacing;
    constexpr std::size_t rounds = 400'000;
    plan::plan_lists lists;
    plan::plan_limits limits;
    limits.services = {{"invoicing"}, {"registry"}, {"tariffs"}};
    limits.requests_per_second = plan::max_requests_per_second;
    limits.burst = plan::max_burst;
    limits.requests_at_once = plan::max_requests_at_once;
    lists.plans.plans[{"portal"}] = limits;
    std::vector<customer_id> ids;
    for (std::size_t at = 0; at < customers; ++at) {
        ids.push_back({fmt::format("harbour-office-{}", at)});
        lists.customers[ids.back()] = {"portal"};
    }
    const plan::plan_book book = plan::compile({1}, lists);
    share::ingress_state state;
    instant now{1h};
    for (std::size_t at = 0; at < active; ++at) {
        share::customer_use& use = state.customers[ids[at * spacing]];
        use.amount = share::amount_of(limits);
        use.expires = now + 1h;
        use.requests.updated = now;
        share::reshape(
            use.requests,
            use.amount.rate,
            use.amount.burst * share::level_of_one_request
        );
        use.requests.level = use.requests.capacity;
    }
    random_source source{1};
    std::vector<std::uint64_t> times;
    times.reserve(rounds);
    for (std::size_t round = 0; round < rounds; ++round) {
        // A copy, as a request has just been read from its connection.
        const customer_id id = ids[random_below(source, active) * spacing];
        now += 160us;
        const auto start = std::chrono::steady_clock::now();
        const auto result =
            share::admit(state, book, {id, service, 1s, 0}, now);
        const auto end = std::chrono::steady_clock::now();
        if (result.status == share::admission_status::admitted) {
            share::finish(state, id);
        }
        times.push_back(static_cast<std::uint64_t>((end - start).count()));
    }
    std::sort(times.begin(), times.end());
    std::vector<std::uint64_t> reading;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        const auto end = std::chrono::steady_clock::now();
        reading.push_back(static_cast<std::uint64_t>((end - start).count()));
    }
    std::sort(reading.begin(), reading.end());
    fmt::print(
        "{{\"point\":\"reading_the_clock\",\"median_ns\":{},\"p99_ns\":{}}}\n",
        reading[rounds / 2],
        reading[rounds * 99 / 100]
    );
    fmt::print(
        "{{\"point\":\"admission\",\"customers\":{},\"active\":{},"
        "\"median_ns\":{},\"p99_ns\":{}}}\n",
        customers,
        active,
        times[rounds / 2],
        times[rounds * 99 / 100]
    );
}

} // namespace

int main() {
    for (const std::size_t customers : {25'000U, 50'000U, 100'000U}) {
        measure_admission(customers);
    }
    return 0;
}
