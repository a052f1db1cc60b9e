// Estimates of work: processor time, errors against an exponentially weighted
// mean by route, and the error of the time until a slot is free. The mix is
// generated with a fixed seed.

#include <apricotstile/core/random.hpp>
#include <apricotstile/serving/work_queue.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int requests = 30000;
constexpr int operations = 1000000;
constexpr double deviation = 0.25;
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
constexpr instant start{24h};

struct recorded_request {
    std::uint32_t route{0};
    work_features features{};
    /// Its mean duration without the tail.
    duration typical{0};
    duration took{0};
};

constexpr std::array<const char*, 4> route_names{
    "plain", "by body size", "by caller's service", "doubles every 500"};

/// Four routes with equal shares. In each, 3% of the requests take seven times
/// as long; keys, paths and the attributes without effect are random.
std::vector<recorded_request> make_mix() {
    random_source random{seed};
    std::normal_distribution<double> normal;
    std::vector<recorded_request> mix;
    for (int i = 0; i < requests; ++i) {
        recorded_request one;
        one.route =
            static_cast<std::uint32_t>(random_below(random, route_names.size())
            );
        const std::uint64_t size = random_below(random, 6);
        const std::uint64_t origin = random_below(random, 3);
        one.features = {
            random_below(random, 40), random_below(random, 64), size, origin};
        const bool second_half = i / 2000 % 2 == 1;
        const std::array<duration, route_names.size()> typical{
            50ms,
            5ms * (1 << size),
            20ms * (1 << (2 * origin)),
            second_half ? 80ms : 40ms};
        const double noise =
            std::exp(deviation * normal(random) - deviation * deviation / 2);
        one.typical = typical.at(one.route);
        const bool in_tail = random_below(random, 1000) < tail_share * 1000;
        one.took = scaled(one.typical, noise * (in_tail ? tail_factor : 1));
        mix.push_back(one);
    }
    return mix;
}

/// Mean errors over the requests after the first ones of each route.
struct errors {
    double log_sum{0};
    double ratio_sum{0};
    int count{0};
};

void print_errors(
    const std::string& way, const std::array<errors, route_names.size()>& all
) {
    for (std::size_t i = 0; i < all.size(); ++i) {
        fmt::print(
            "{{\"benchmark\":\"work_estimate\",\"way\":\"{}\","
            "\"route\":\"{}\",\"mean_abs_log_error\":{:.3f},"
            "\"mean_error_of_typical\":{:.3f}}}\n",
            way,
            route_names.at(i),
            all.at(i).log_sum / all.at(i).count,
            all.at(i).ratio_sum / all.at(i).count
        );
    }
}

/// `estimate` is asked before `observe` learns each request.
void measure_errors(
    const std::string& way,
    const std::vector<recorded_request>& mix,
    const std::function<duration(const recorded_request&)>& estimate,
    const std::function<void(const recorded_request&)>& observe
) {
    constexpr int first_requests = 400;
    std::array<errors, route_names.size()> all;
    for (std::size_t i = 0; i < mix.size(); ++i) {
        const recorded_request& one = mix[i];
        if (i >= first_requests) {
            const double expected = static_cast<double>(estimate(one).count());
            errors& sums = all.at(one.route);
            sums.log_sum += std::abs(
                std::log(static_cast<double>(one.took.count()) / expected)
            );
            sums.ratio_sum += std::abs(
                expected / static_cast<double>(one.typical.count()) - 1
            );
            ++sums.count;
        }
        observe(one);
    }
    print_errors(way, all);
}

void measure_moving_mean(
    const std::vector<recorded_request>& mix, const std::string& way, int weight
) {
    std::map<std::uint32_t, duration> means;
    measure_errors(
        way,
        mix,
        [&](const recorded_request& one) {
            return means[one.route];
        },
        [&](const recorded_request& one) {
            duration& mean = means[one.route];
            mean = mean == duration{0} ? one.took
                                       : mean + (one.took - mean) / weight;
        }
    );
}

void measure_model(
    const std::vector<recorded_request>& mix,
    const std::string& way,
    const work_model_policy& policy
) {
    work_model model;
    model.policy = policy;
    measure_errors(
        way,
        mix,
        [&](const recorded_request& one) {
            return estimate_work(model, one.route, one.features)->expected;
        },
        [&](const recorded_request& one) {
            observe_work(model, one.route, one.features, one.took, start);
        }
    );
}

/// Runs `operation` many times and prints its mean duration.
template <class Operation>
void measure_time(const char* name, Operation operation) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < operations; ++i) {
        operation(i);
    }
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - begin;
    fmt::print(
        "{{\"benchmark\":\"work_estimate\",\"operation\":\"{}\","
        "\"ns\":{:.0f}}}\n",
        name,
        taken.count() / operations
    );
}

void measure_times(const std::vector<recorded_request>& mix) {
    work_model model;
    const auto at = [&](int i) -> const recorded_request& {
        return mix[static_cast<std::size_t>(i) % mix.size()];
    };
    measure_time("observation, mix", [&](int i) {
        const recorded_request& one = at(i);
        observe_work(model, one.route, one.features, one.took, start);
    });
    std::int64_t sum = 0;
    measure_time("estimate, mix", [&](int i) {
        const recorded_request& one = at(i);
        sum += estimate_work(model, one.route, one.features)->expected.count();
    });
    random_source random{seed};
    measure_time("observation, random values", [&](int i) {
        const work_features features{random(), random(), random(), random()};
        observe_work(model, at(i).route, features, at(i).took, start);
    });
    const work_estimate estimate{50ms, {deviation, tail_share, tail_factor}, 0};
    measure_time("remaining work", [&](int i) {
        sum += remaining_work(estimate, 1us * (i % 500000)).count();
    });
    // Keeps the results in use.
    if (sum == 0) {
        fmt::print("\n");
    }
}

/// A full instance: the error of the expected time until a slot is free, as
/// `expected_wait` has it and with running work taken for half done.
void measure_waits(std::uint32_t slots) {
    random_source random{seed};
    std::normal_distribution<double> normal;
    work_queue queue;
    queue.policy.slots = slots;
    queue.open = true;
    queue.has_answered = true;
    std::multimap<instant, work_id> ends;
    instant now = start;
    std::uint64_t last_id = 0;
    const auto begin = [&] {
        offered_work one;
        one.id = work_id{++last_id};
        one.expected = 50ms;
        one.spread = {deviation, tail_share, tail_factor};
        one.target = one.deadline = now + 1h;
        const double noise =
            std::exp(deviation * normal(random) - deviation * deviation / 2);
        const bool in_tail = random_below(random, 1000) < tail_share * 1000;
        const double factor = noise * (in_tail ? tail_factor : 1);
        std::ignore = offer(queue, one, now);
        ends.emplace(now + scaled(50ms, factor), one.id);
    };
    while (ends.size() < slots) {
        begin();
        now += 7ms;
    }
    constexpr int samples = 20000;
    double remainder_error = 0;
    double half_error = 0;
    instant sample_at = now;
    for (int taken = 0; taken < samples;) {
        if (ends.begin()->first <= sample_at) {
            now = ends.begin()->first;
            std::ignore = finished(queue, ends.begin()->second, now);
            ends.erase(ends.begin());
            begin();
            continue;
        }
        offered_work next;
        next.expected = 50ms;
        next.target = next.deadline = sample_at + 1h;
        const std::chrono::duration<double, std::milli> actual =
            ends.begin()->first - sample_at;
        const std::chrono::duration<double, std::milli> expected =
            expected_wait(queue, next, sample_at);
        const std::chrono::duration<double, std::milli> half =
            duration{50ms} / (slots + 1);
        remainder_error += std::abs((expected - actual).count()) / samples;
        half_error += std::abs((half - actual).count()) / samples;
        sample_at += duration{
            static_cast<duration::rep>(random_below(random, 10'000'000))};
        ++taken;
    }
    fmt::print(
        "{{\"benchmark\":\"work_estimate\",\"slots\":{},"
        "\"error_of_remaining_work_ms\":{:.2f},"
        "\"error_of_half_done_ms\":{:.2f}}}\n",
        slots,
        remainder_error,
        half_error
    );
}

/// Requests of the route by body size at a multiple of an instance's capacity:
/// the share of the capacity that goes into answers within the target, and the
/// shares of the requests that are answered in time, late, and refused.
void measure_overload(
    double factor,
    const std::string& way,
    const std::function<work_estimate(const work_features&)>& estimate,
    const std::function<void(const work_features&, duration)>& observe
) {
    constexpr std::uint32_t slots = 8;
    constexpr int total = 40000;
    constexpr duration target = 400ms;
    constexpr duration deadline = 1s;
    // 52.5 ms without the tail.
    const duration mean = scaled(52500us, 1 + tail_share * (tail_factor - 1));
    random_source random{seed};
    std::normal_distribution<double> normal;
    work_queue queue;
    queue.policy.slots = slots;
    queue.open = true;
    queue.has_answered = true;

    struct known {
        work_features features{};
        duration took{0};
        instant target;
    };

    std::map<work_id, known> offered;
    std::multimap<instant, work_id> ends;
    double timely = 0;
    double late = 0;
    double refused = 0;
    duration useful{0};
    const auto take = [&](const std::vector<work_action>& actions, instant at) {
        for (const work_action& one : actions) {
            if (one.decision == work_decision::start) {
                ends.emplace(at + offered.at(one.id).took, one.id);
            } else {
                refused += 1.0 / total;
            }
        }
    };
    const auto run_until = [&](instant until) {
        while (!ends.empty() && ends.begin()->first <= until) {
            const auto [at, id] = *ends.begin();
            ends.erase(ends.begin());
            const known& one = offered.at(id);
            const bool in_time = at <= one.target;
            (in_time ? timely : late) += 1.0 / total;
            useful += in_time ? one.took : duration{0};
            observe(one.features, one.took);
            take(finished(queue, id, at), at);
        }
    };
    const duration gap = scaled(mean, 1 / (slots * factor));
    for (int i = 0; i < total; ++i) {
        const instant now = start + gap * i;
        run_until(now);
        const std::uint64_t size = random_below(random, 6);
        const bool in_tail = random_below(random, 1000) < tail_share * 1000;
        const double noise =
            std::exp(deviation * normal(random) - deviation * deviation / 2);
        known added;
        added.features = {random_below(random, 40), 0, size, 0};
        added.took =
            scaled(5ms * (1 << size), noise * (in_tail ? tail_factor : 1));
        added.target = now + target;
        offered_work one;
        one.id = work_id{static_cast<std::uint64_t>(i) + 1};
        one.target = now + target;
        one.deadline = now + deadline;
        const work_estimate known_work = estimate(added.features);
        one.expected = known_work.expected;
        one.spread = known_work.spread;
        offered.emplace(one.id, added);
        take(offer(queue, one, now), now);
    }
    const instant end = start + gap * total;
    run_until(end);
    const auto capacity = (end - start) * slots;
    fmt::print(
        "{{\"benchmark\":\"work_estimate\",\"load\":{},\"way\":\"{}\","
        "\"useful_capacity\":{:.3f},\"timely\":{:.3f},\"late\":{:.3f},"
        "\"refused\":{:.3f}}}\n",
        factor,
        way,
        static_cast<double>(useful.count()) /
            static_cast<double>(capacity.count()),
        timely,
        late,
        refused
    );
}

void measure_overloads(double factor) {
    duration mean{0};
    measure_overload(
        factor,
        "mean by route, weight 1/16",
        [&](const work_features&) {
            return work_estimate{mean == duration{0} ? 50ms : mean, {}, 0};
        },
        [&](const work_features&, duration took) {
            mean = mean == duration{0} ? took : mean + (took - mean) / 16;
        }
    );
    work_model model;
    measure_overload(
        factor,
        "work_estimate",
        [&](const work_features& features) {
            return estimate_work(model, 0, features)
                .value_or(work_estimate{50ms, {}, 0});
        },
        [&](const work_features& features, duration took) {
            observe_work(model, 0, features, took, start);
        }
    );
}

} // namespace

int main() {
    const auto mix = make_mix();
    measure_moving_mean(mix, "mean by route, weight 1/16", 16);
    measure_moving_mean(mix, "mean by route, weight 1/64", 64);
    work_model_policy route_only;
    route_only.use_share = 2;
    measure_model(mix, "log mean by route", route_only);
    measure_model(mix, "work_estimate", {});
    measure_times(mix);
    for (const std::uint32_t slots : {1U, 4U, 8U, 16U, 64U}) {
        measure_waits(slots);
    }
    for (const double factor : {0.9, 1.2, 2.0, 4.0}) {
        measure_overloads(factor);
    }
}
