// Multiplexes many timers onto one QTimer, so that an idle daemon wakes up only
// for the next due one.

#ifndef APRICOTSTILE_NET_TIMER_QUEUE_HPP
#define APRICOTSTILE_NET_TIMER_QUEUE_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>

#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace apricotstile::net {

/// Never reused; zero means no timer.
using timer_id = strong_id<struct timer_id_tag, std::uint64_t>;

class timer_queue {
public:
    timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;
    ~timer_queue() = default;

    /// Runs `action` once, at `when` or shortly after it.
    timer_id at(instant when, std::function<void()> action);
    timer_id after(duration delay, std::function<void()> action);
    /// Runs `action` repeatedly, `interval` after each run, until the queue is
    /// destroyed.
    void every(duration interval, std::function<void()> action);
    /// Has no effect on a timer that has run.
    void cancel(timer_id timer);

    /// The longest time by which a timer ran late since the last call: how long
    /// other work kept the event loop from its timers and sockets.
    [[nodiscard]] duration take_longest_delay();

private:
    struct entry {
        timer_id id;
        std::function<void()> action;
    };

    void run_due();
    void schedule_wake_up();

    std::multimap<instant, entry> entries;
    std::unordered_map<timer_id, instant> due_times;
    timer_id last_id;
    QTimer timer;
    /// When `timer` fires next; `instant::max()` while it is stopped.
    instant next_wake_up{instant::max()};
    duration longest_delay{0};
};

} // namespace apricotstile::net

#endif
