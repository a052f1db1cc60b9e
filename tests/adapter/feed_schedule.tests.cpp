// Guards against a daemon that goes on with an old configuration after an
// outage of the store. Random outages of all kinds meet random changes of the
// configuration under a virtual clock; daemons hear of newer versions by the
// requests that they exchange.

#include <apricotstile/core/random.hpp>
#include <platform/feed_schedule.hpp>
#include <tests/support/schedule.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
/// Longest time from an acknowledged change, or from the store's return if
/// that is later, until all daemons have applied it.
constexpr duration apply_limit = 2s;
constexpr duration store_latency = 10ms;
/// How long a daemon that knows of a newer version waits until it asks the
/// store again, and then until it asks the peer.
constexpr duration config_renewal_delay = 300ms;
constexpr duration config_request_delay = 1200ms;
/// Between two requests from one daemon to another, on average.
constexpr duration contact_interval = 20ms;
constexpr duration end_of_run = 40s;

enum class store_state : std::uint8_t {
    up,
    /// Calls are refused; the waiting ones too.
    busy,
    /// Connections are reset.
    reset,
    /// Calls get no answer, neither then nor after the return.
    silent
};

struct feed {
    feed_schedule schedule;
    feed_position position;
    std::uint64_t version{0};
    /// The waiting call: identifies it, and whether the store has lost it.
    std::uint64_t call{0};
    bool waits{false};
    bool is_lost{false};
    bool peer_request_due{false};
};

struct model {
    explicit model(std::uint64_t seed, std::size_t daemons)
        : random(seed), feeds(daemons) {
        for (std::size_t i = 0; i < daemons; ++i) {
            this->feeds[i].position = {true, i, daemons};
        }
    }

    random_source random;
    std::vector<feed> feeds;
    store_state store{store_state::up};
    std::uint64_t version{0};
    /// When the newest version was acknowledged, or the store came back.
    instant news_at{start};
    instant now{start};
    std::multimap<instant, std::function<void()>> events;
    /// Calls by whole seconds.
    std::map<std::int64_t, std::uint64_t> calls;
    duration longest_lag{0};
    violation broken;
};

void at(model& it, instant when, std::function<void()> action) {
    it.events.emplace(when, std::move(action));
}

duration any_duration(model& it, duration most) {
    return duration{static_cast<duration::rep>(
        random_below(it.random, static_cast<std::uint64_t>(most.count()))
    )};
}

void call_store(model& it, feed& one);

void receive(model& it, feed& one, std::uint64_t version) {
    one.version = std::max(one.version, version);
    static_cast<void>(it);
}

void end_call(model& it, feed& one, bool answered) {
    one.waits = false;
    if (answered) {
        const bool changed = it.version > one.version;
        receive(it, one, it.version);
        note_answer(one.schedule, changed);
        // As in the table client.
        constexpr duration delay_after_changes = 600ms;
        at(it, it.now + (changed ? delay_after_changes : 0ms), [&] {
            if (!one.waits) {
                call_store(it, one);
            }
        });
        return;
    }
    at(it, it.now + note_failure(one.schedule, one.position, it.random), [&] {
        if (!one.waits) {
            call_store(it, one);
        }
    });
}

void call_store(model& it, feed& one) {
    ++it.calls[std::chrono::duration_cast<std::chrono::seconds>(it.now - start)
                   .count()];
    const feed_call call = next_call(one.schedule, one.position);
    const std::uint64_t number = ++one.call;
    one.waits = true;
    one.is_lost = it.store == store_state::silent;
    const auto ends = [&it, &one, number](bool answered) {
        return [&it, &one, number, answered] {
            if (one.waits && one.call == number &&
                (!answered || !one.is_lost)) {
                end_call(it, one, answered);
            }
        };
    };
    if (it.store == store_state::busy || it.store == store_state::reset) {
        at(it, it.now + store_latency, ends(false));
        return;
    }
    const bool has_news = it.version > one.version;
    at(it, it.now + store_latency + (has_news ? 0ms : call.wait), ends(true));
    at(it, it.now + call.timeout, ends(false));
}

void change_config(model& it) {
    if (it.store != store_state::up) {
        return;
    }
    ++it.version;
    it.news_at = it.now;
    for (feed& one : it.feeds) {
        if (one.waits && !one.is_lost) {
            const std::uint64_t number = one.call;
            at(it, it.now + store_latency, [&it, &one, number] {
                if (one.waits && one.call == number) {
                    end_call(it, one, true);
                }
            });
        }
    }
}

void set_store(model& it, store_state state) {
    if (state == store_state::up && it.store != store_state::up) {
        it.news_at = it.now;
    }
    it.store = state;
    for (feed& one : it.feeds) {
        if (!one.waits) {
            continue;
        }
        if (state == store_state::silent) {
            one.is_lost = true;
        } else if (state != store_state::up) {
            end_call(it, one, false);
        }
    }
}

/// One daemon sends another a request; either may learn of a newer version.
void contact(model& it) {
    feed& one = it.feeds[random_below(it.random, it.feeds.size())];
    feed& other = it.feeds[random_below(it.random, it.feeds.size())];
    feed& behind = one.version < other.version ? one : other;
    const feed& ahead = one.version < other.version ? other : one;
    if (ahead.version == behind.version || behind.peer_request_due) {
        return;
    }
    behind.peer_request_due = true;
    const std::uint64_t wanted = ahead.version;
    at(it, it.now + config_renewal_delay, [&it, &behind, wanted] {
        if (behind.version < wanted && behind.waits &&
            note_trouble(behind.schedule)) {
            call_store(it, behind);
        }
    });
    at(it, it.now + config_request_delay, [&it, &behind, wanted] {
        behind.peer_request_due = false;
        receive(it, behind, wanted);
    });
}

void check(model& it) {
    const bool all_have_it =
        std::all_of(it.feeds.begin(), it.feeds.end(), [&](const feed& one) {
            return one.version == it.version;
        });
    if (it.store != store_state::up || all_have_it) {
        return;
    }
    it.longest_lag = std::max(it.longest_lag, it.now - it.news_at);
    if (it.now - it.news_at > apply_limit) {
        it.broken = "a daemon has an old configuration";
    }
}

void repeat(model& it, duration interval, const std::function<void()>& action) {
    at(it, it.now + interval, [&it, interval, action] {
        action();
        repeat(it, interval, action);
    });
}

void plan_outages(model& it) {
    constexpr duration shortest = 500ms;
    for (instant when = start + 5s; when < start + end_of_run - 15s;) {
        const auto state =
            static_cast<store_state>(1 + random_below(it.random, 3));
        const duration length = shortest + any_duration(it, 6s);
        at(it, when, [&it, state] {
            set_store(it, state);
        });
        at(it, when + length, [&it] {
            set_store(it, store_state::up);
        });
        when += length + 4s + any_duration(it, 6s);
    }
}

/// Runs one random schedule to its end.
void run(model& it) {
    for (feed& one : it.feeds) {
        at(it, it.now, [&it, &one] {
            call_store(it, one);
        });
    }
    plan_outages(it);
    repeat(it, 300ms, [&it] {
        if (random_below(it.random, 4) == 0) {
            change_config(it);
        }
    });
    // Each daemon exchanges requests with some other at this interval.
    repeat(
        it,
        contact_interval / static_cast<duration::rep>(it.feeds.size()),
        [&it] {
            contact(it);
        }
    );
    repeat(it, 10ms, [&it] {
        check(it);
    });
    while (!it.broken && it.events.begin()->first < start + end_of_run) {
        const auto first = it.events.begin();
        it.now = first->first;
        const std::function<void()> action = std::move(first->second);
        it.events.erase(first);
        action();
    }
}

std::uint64_t seeds_to_run(std::uint64_t by_default) {
    const char* const wanted = std::getenv("FEED_SCHEDULES");
    return wanted == nullptr ? by_default : std::strtoull(wanted, nullptr, 10);
}

} // namespace

TEST_CASE(
    "all daemons have the newest configuration soon after the store is back",
    "[adapter][store][schedules]"
) {
    const std::size_t daemons = GENERATE(18, 300);
    const std::uint64_t seeds = seeds_to_run(daemons == 18 ? 100 : 3);
    duration longest{0};
    std::uint64_t most_calls = 0;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        model it{seed, daemons};
        run(it);
        if (it.broken) {
            ++broken;
            UNSCOPED_INFO("seed " << seed);
        }
        longest = std::max(longest, it.longest_lag);
        for (const auto& [second, calls] : it.calls) {
            most_calls = std::max(most_calls, second > 0 ? calls : 0);
        }
    }
    WARN(
        daemons
        << " daemons: longest "
        << std::chrono::duration_cast<std::chrono::milliseconds>(longest).count(
           )
        << " ms, at most " << most_calls << " calls in a second"
    );
    CHECK(broken == 0);
}
