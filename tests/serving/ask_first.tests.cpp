// Guards against requests that wait at one instance while another is idle,
// because the daemons that choose have heard from both seconds ago.

#include <apricotstile/serving/ask_first.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <tuple>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

enum class rule : std::uint8_t { reports, two_choices, ask_first };

struct replay_options {
    rule chosen_rule{rule::reports};
    double utilization{0.8};
    std::uint64_t seed{1};
};

struct replay_result {
    duration mean{0};
    duration percentile_99{0};
    /// Part of the requests that are answered within 250 ms.
    double within_target{0};
    /// Messages to instances per request.
    double attempts{0};
};

/// 60 daemons choose among 40 instances with two slots each, on a virtual
/// clock. A daemon learns an instance's load only from its own responses, every
/// 4 s on average for each instance.
class replay {
public:
    explicit replay(const replay_options& options)
        : options(options), random(options.seed), views(choosers) {
        std::uniform_real_distribution<double> speeds{0.5, 1.5};
        for (std::size_t index = 0; index < instance_count; ++index) {
            this->instances[index].speed = speeds(this->random);
            this->capacity += slots * this->instances[index].speed /
                              std::chrono::duration<double>(mean_work).count();
        }
        for (auto& chooser : this->views) {
            chooser.resize(instance_count);
            for (instance_view& view : chooser) {
                view.load.slots = slots;
            }
        }
    }

    replay_result run() {
        this->schedule_arrival(instant{1h});
        while (!this->events.empty()) {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return this->summarize();
    }

private:
    static constexpr std::size_t choosers = 60;
    static constexpr std::size_t instance_count = 40;
    static constexpr std::uint32_t slots = 2;
    static constexpr std::size_t request_count = 30'000;
    /// Of requests before this one nothing is measured.
    static constexpr std::size_t first_measured = 6'000;
    static constexpr duration mean_work = 100ms;
    static constexpr duration one_way = 1ms;

    struct request {
        std::size_t chooser{0};
        bool measured{false};
        instant arrived;
        duration work{0};
        std::vector<host_id> asked;
    };

    struct instance {
        double speed{1};
        std::uint32_t running{0};
        std::deque<request> waiting;
    };

    struct event {
        instant at;
        std::uint64_t number{0};
        std::function<void()> action;

        bool operator<(const event& other) const {
            return std::tie(other.at, other.number) <
                   std::tie(this->at, this->number);
        }
    };

    void at(instant when, std::function<void()> action) {
        this->events.push({when, ++this->last_event, std::move(action)});
    }

    void schedule_arrival(instant after) {
        if (this->arrivals == request_count) {
            return;
        }
        std::exponential_distribution<double> gaps{
            this->capacity * this->options.utilization};
        const instant when =
            after + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(gaps(this->random))
                    );
        this->at(when, [this, when] {
            request added;
            added.chooser = random_below(this->random, choosers);
            added.measured = this->arrivals >= first_measured;
            added.arrived = when;
            // Log-normal with a mean of one.
            constexpr double sigma = 0.6;
            std::lognormal_distribution<double> factors{
                -sigma * sigma / 2, sigma};
            added.work = scaled(mean_work, factors(this->random));
            ++this->arrivals;
            this->attempt(added);
            this->schedule_arrival(when);
        });
    }

    [[nodiscard]] instance_to_try choose(const request& one) {
        std::vector<candidate> candidates;
        for (std::size_t index = 0; index < instance_count; ++index) {
            candidates.push_back(
                {host_id{index},
                 locality_tier::region,
                 &this->views[one.chooser][index]}
            );
        }
        if (this->options.chosen_rule == rule::two_choices) {
            std::shuffle(candidates.begin(), candidates.end(), this->random);
            candidates.resize(2);
        }
        if (this->options.chosen_rule == rule::ask_first) {
            return choose_instance_to_try(
                       candidates,
                       one.asked,
                       this->policy,
                       {},
                       {250ms},
                       this->now,
                       this->random
            )
                .value();
        }
        return {
            choose_instance(candidates, {}, {250ms}, this->now, this->random)
                .value(),
            true};
    }

    void attempt(const request& one) {
        const instance_to_try chosen = this->choose(one);
        const std::size_t target = chosen.host.value;
        this->attempts += one.measured ? 1 : 0;
        ++this->views[one.chooser][target].in_flight;
        this->at(
            this->now + one_way,
            [this, one, target, queues = chosen.may_queue] {
                this->arrive(one, target, queues);
            }
        );
    }

    void arrive(request one, std::size_t target, bool queues) {
        instance& there = this->instances[target];
        if (there.running < slots) {
            this->start(one, target);
            return;
        }
        const duration wait = scaled(
            this->service_time(there),
            static_cast<double>(there.waiting.size() + 1) / slots
        );
        if (queues || !prefers_another(this->policy, wait)) {
            there.waiting.push_back(one);
            return;
        }
        one.asked.push_back(host_id{target});
        this->respond(one.chooser, target, [this, one] {
            this->attempt(one);
        });
    }

    void start(const request& one, std::size_t target) {
        instance& there = this->instances[target];
        ++there.running;
        this->at(
            this->now + scaled(one.work, 1 / there.speed),
            [this, one, target] {
                instance& ended = this->instances[target];
                --ended.running;
                if (!ended.waiting.empty()) {
                    const request next = ended.waiting.front();
                    ended.waiting.pop_front();
                    this->start(next, target);
                }
                this->respond(one.chooser, target, [this, one] {
                    if (one.measured) {
                        this->latencies.push_back(this->now - one.arrived);
                    }
                });
            }
        );
    }

    /// The load at the time of the response arrives with it.
    void respond(
        std::size_t chooser,
        std::size_t target,
        const std::function<void()>& then
    ) {
        const reported_load load = this->load_of(this->instances[target]);
        this->at(this->now + one_way, [this, chooser, target, load, then] {
            instance_view& view = this->views[chooser][target];
            note_end(view);
            view.load = load;
            view.load_reported_at = this->now;
            view.in_flight_when_reported = view.in_flight;
            then();
        });
    }

    static duration service_time(const instance& one) {
        return scaled(mean_work, 1 / one.speed);
    }

    static reported_load load_of(const instance& one) {
        reported_load result;
        result.slots = slots;
        result.running = one.running;
        result.waiting = static_cast<std::uint32_t>(one.waiting.size());
        result.mean_service_time = service_time(one);
        return result;
    }

    replay_result summarize() {
        std::sort(this->latencies.begin(), this->latencies.end());
        replay_result result;
        duration total{0};
        for (const duration one : this->latencies) {
            total += one;
        }
        const auto count = static_cast<duration::rep>(this->latencies.size());
        result.mean = total / count;
        result.percentile_99 =
            this->latencies[this->latencies.size() * 99 / 100];
        const auto late = std::upper_bound(
            this->latencies.begin(), this->latencies.end(), duration{250ms}
        );
        result.within_target =
            static_cast<double>(late - this->latencies.begin()) /
            static_cast<double>(count);
        result.attempts =
            static_cast<double>(this->attempts) / static_cast<double>(count);
        return result;
    }

    replay_options options;
    ask_first_policy policy;
    random_source random;
    double capacity{0};
    std::array<instance, instance_count> instances;
    std::vector<std::vector<instance_view>> views;
    std::priority_queue<event> events;
    std::uint64_t last_event{0};
    instant now;
    std::size_t arrivals{0};
    std::size_t attempts{0};
    std::vector<duration> latencies;
};

std::string to_text(const replay_result& result) {
    return std::to_string(result.mean.count()) + " " +
           std::to_string(result.percentile_99.count()) + " " +
           std::to_string(result.within_target) + " " +
           std::to_string(result.attempts);
}

} // namespace

TEST_CASE("a request that would wait is better asked elsewhere", "[ask]") {
    const ask_first_policy policy;
    CHECK_FALSE(prefers_another(policy, 0ms));
    CHECK_FALSE(prefers_another(policy, policy.retry_cost));
    CHECK(prefers_another(policy, policy.retry_cost + 1ms));
}

namespace {

instance_view view_with(std::uint32_t waiting) {
    instance_view view;
    view.load = {4, 4, waiting, 50ms, 0};
    view.load_reported_at = instant{1h};
    return view;
}

/// The host, negative if it may queue the request; zero if there is none.
int choose(
    const std::vector<candidate>& candidates, const std::vector<host_id>& asked
) {
    random_source random{1};
    const auto chosen = choose_instance_to_try(
        candidates, asked, {}, {}, {250ms}, instant{1h}, random
    );
    if (!chosen) {
        return 0;
    }
    const int host = static_cast<int>(chosen->host.value);
    return chosen->may_queue ? -host : host;
}

} // namespace

TEST_CASE("instances are asked before a request may queue", "[ask]") {
    const instance_view idle = view_with(0);
    const instance_view busy = view_with(4);
    const instance_view full = view_with(8);
    const auto near = locality_tier::region;
    const auto far = locality_tier::other_region;
    CHECK(choose({}, {}) == 0);
    // There is no other one to ask.
    CHECK(choose({{host_id{1}, near, &full}}, {}) == -1);
    CHECK(
        choose({{host_id{1}, near, &idle}, {host_id{2}, near, &busy}}, {}) == 1
    );
    CHECK(
        choose(
            {{host_id{1}, near, &full}, {host_id{2}, near, &busy}}, {host_id{1}}
        ) == 2
    );
    // One in another region isn't worth its price.
    CHECK(
        choose(
            {{host_id{1}, near, &busy}, {host_id{2}, far, &busy}}, {host_id{1}}
        ) == -1
    );
    // After two rejections one of these two has it.
    CHECK(
        choose(
            {{host_id{1}, near, &full},
             {host_id{2}, near, &busy},
             {host_id{3}, near, &idle}},
            {host_id{1}, host_id{2}}
        ) == -2
    );
    // Both have gone since.
    CHECK(choose({{host_id{3}, near, &idle}}, {host_id{1}, host_id{2}}) == -3);
}

TEST_CASE(
    "with stale reports, requests that ask first wait less", "[ask][replay]"
) {
    const double utilization = GENERATE(0.6, 0.8, 0.9);
    const std::uint64_t seed = GENERATE(as<std::uint64_t>{}, 1, 2, 3);
    const auto run = [&](rule chosen) {
        return replay{{chosen, utilization, seed}}.run();
    };
    const replay_result reports = run(rule::reports);
    const replay_result two_choices = run(rule::two_choices);
    const replay_result asks = run(rule::ask_first);
    CAPTURE(utilization, seed);
    UNSCOPED_INFO(
        "mean in ns, p99 in ns, within target, attempts of: reports "
        << to_text(reports) << "; two choices " << to_text(two_choices)
        << "; ask first " << to_text(asks)
    );
    CHECK(asks.mean < scaled(reports.mean, 0.93));
    CHECK(asks.mean < scaled(two_choices.mean, 0.93));
    CHECK(asks.percentile_99 < reports.percentile_99);
    CHECK(asks.within_target > reports.within_target);
    CHECK(asks.within_target > two_choices.within_target);
    // Each request is rejected twice at most before it queues.
    CHECK(asks.attempts <= 3);
}
