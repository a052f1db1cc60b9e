// Many timers on one of Qt's, so that an idle daemon isn't woken for each.

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

/// Never reused; zero names no timer.
using timer_id = strong_id<struct timer_id_tag, std::uint64_t>;

class timer_queue {
public:
    timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;
    ~timer_queue() = default;

    /// Runs `action` once, at `when` or a little later.
    timer_id at(instant when, std::function<void()> action);
    timer_id after(duration delay, std::function<void()> action);
    /// Runs `action` again and again for as long as the queue lives.
    void every(duration interval, std::function<void()> action);
    /// Does nothing for a timer that has run.
    void cancel(timer_id timer);

private:
    struct entry {
        timer_id id;
        std::function<void()> action;
    };

    void run_due();
    void arm();

    std::multimap<instant, entry> entries;
    std::unordered_map<timer_id, instant> times;
    timer_id last;
    QTimer timer;
    /// When `timer` fires next; the farthest instant while it is stopped.
    instant armed{instant::max()};
};

} // namespace apricotstile::net

#endif
