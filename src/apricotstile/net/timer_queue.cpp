// Keeps the timers ordered by due time and sets one QTimer to the first.

#include <apricotstile/net/timer_queue.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::net {

timer_queue::timer_queue() {
    this->timer.setSingleShot(true);
    this->timer.setTimerType(Qt::PreciseTimer);
    this->timer.callOnTimeout([this] {
        this->run_due();
    });
}

timer_id timer_queue::at(instant when, std::function<void()> action) {
    this->last_id = next(this->last_id);
    this->entries.emplace(when, entry{this->last_id, std::move(action)});
    this->due_times.emplace(this->last_id, when);
    this->schedule_wake_up();
    return this->last_id;
}

timer_id timer_queue::after(duration delay, std::function<void()> action) {
    return this->at(boot_clock::now() + delay, std::move(action));
}

void timer_queue::every(duration interval, std::function<void()> action) {
    this->after(interval, [this, interval, action = std::move(action)] {
        action();
        this->every(interval, action);
    });
}

void timer_queue::cancel(timer_id timer) {
    const auto when = this->due_times.find(timer);
    if (when == this->due_times.end()) {
        return;
    }
    const auto [begin, end] = this->entries.equal_range(when->second);
    const auto found = std::find_if(begin, end, [&](const auto& one) {
        return one.second.id == timer;
    });
    this->entries.erase(found);
    this->due_times.erase(when);
}

void timer_queue::run_due() {
    this->next_wake_up = instant::max();
    const instant now = boot_clock::now();
    if (!this->entries.empty()) {
        this->longest_delay =
            std::max(this->longest_delay, now - this->entries.begin()->first);
    }
    while (!this->entries.empty() && this->entries.begin()->first <= now) {
        const auto first = this->entries.begin();
        const std::function<void()> action = std::move(first->second.action);
        this->due_times.erase(first->second.id);
        this->entries.erase(first);
        action();
    }
    this->schedule_wake_up();
}

duration timer_queue::take_longest_delay() {
    return std::exchange(this->longest_delay, duration{0});
}

void timer_queue::schedule_wake_up() {
    if (this->entries.empty() ||
        this->entries.begin()->first >= this->next_wake_up) {
        return;
    }
    this->next_wake_up = this->entries.begin()->first;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        this->next_wake_up - boot_clock::now()
    );
    this->timer.start(std::max(remaining, std::chrono::milliseconds{0}));
}

} // namespace apricotstile::net
