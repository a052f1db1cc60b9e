// Processor time of one choice of an instance among 100 candidates, and of one
// choice of whom to ask among as many. Prints one JSON line each.

#include <apricotstile/serving/ask_first.hpp>

#include <fmt/format.h>

#include <ctime>
#include <vector>

namespace {

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

constexpr std::size_t candidate_count = 100;
constexpr std::size_t choices = 200'000;

double processor_microseconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double micros = 1e6;
    constexpr double nanos_per_micro = 1e3;
    return static_cast<double>(time.tv_sec) * micros +
           static_cast<double>(time.tv_nsec) / nanos_per_micro;
}

template <class Choice>
void print_cost(const char* name, Choice choice) {
    std::uint64_t sum = 0;
    const double before = processor_microseconds();
    for (std::size_t index = 0; index < choices; ++index) {
        sum += choice();
    }
    const double spent = processor_microseconds() - before;
    fmt::print(
        "{{\"benchmark\":\"{}\",\"microseconds\":{:.3f},\"sum\":{}}}\n",
        name,
        spent / static_cast<double>(choices),
        sum
    );
}

} // namespace

int main() {
    random_source random{1};
    const instant now{1h};
    std::vector<instance_view> views(candidate_count);
    std::vector<candidate> candidates;
    for (std::size_t index = 0; index < candidate_count; ++index) {
        instance_view& view = views[index];
        view.load.slots = 4;
        view.load.running = static_cast<std::uint32_t>(random_below(random, 5));
        view.load.mean_service_time =
            std::chrono::milliseconds{20 + random_below(random, 80)};
        view.load_reported_at = now;
        candidates.push_back(
            {host_id{index},
             index % 3 == 0 ? locality_tier::other_region
                            : locality_tier::region,
             &view}
        );
    }
    print_cost("choose_among_100", [&] {
        return choose_instance(candidates, {}, {250ms}, now, random)->value;
    });
    print_cost("choose_to_ask_among_100", [&] {
        return choose_instance_to_try(
                   candidates, {host_id{1}}, {}, {}, {250ms}, now, random
        )
            ->host.value;
    });
    return 0;
}
