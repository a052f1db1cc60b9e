// Keeps the timers ordered by due time and sets one QTimer to the first.

#include <apricotstile/net/timer_queue.hpp>

#include <algorithm>

namespace apricotstile::net {

timer_queue::timer_queue() {
    this->timer.setSingleShot(true);
    this->timer.setTimerType(Qt::PreciseTimer);
    this->timer.callOnTimeout([this] {
        this->run_due();
    });
}

timer_id timer_queue::at(instant when, std::function<void()> action) {
    this->last = next(this->last);
    this->entries.emplace(when, entry{this->last, std::move(action)});
    this->times.emplace(this->last, when);
    this->arm();
    return this->last;
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
    const auto when = this->times.find(timer);
    if (when == this->times.end()) {
        return;
    }
    const auto [begin, end] = this->entries.equal_range(when->second);
    const auto found = std::find_if(begin, end, [&](const auto& one) {
        return one.second.id == timer;
    });
    this->entries.erase(found);
    this->times.erase(when);
}

void timer_queue::run_due() {
    this->armed = instant::max();
    const instant now = boot_clock::now();
    while (!this->entries.empty() && this->entries.begin()->first <= now) {
        const auto first = this->entries.begin();
        const std::function<void()> action = std::move(first->second.action);
        this->times.erase(first->second.id);
        this->entries.erase(first);
        action();
    }
    this->arm();
}

void timer_queue::arm() {
    if (this->entries.empty() || this->entries.begin()->first >= this->armed) {
        return;
    }
    this->armed = this->entries.begin()->first;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        this->armed - boot_clock::now()
    );
    this->timer.start(std::max(left, std::chrono::milliseconds{0}));
}

} // namespace apricotstile::net
