// A bounded ring between threads: many producers, one consumer.

#ifndef APRICOTSTILE_CORE_BOUNDED_RING_HPP
#define APRICOTSTILE_CORE_BOUNDED_RING_HPP

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace apricotstile {

template <class Message>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : messages(capacity) {}

    /// Adds `message` and tells whether the ring was empty before, so that
    /// only the first producer wakes the consumer. Leaves `message` as it is
    /// and returns `pushed == false` when the ring is full.
    struct push_result {
        bool pushed{false};
        bool was_empty{false};
    };

    push_result try_push(Message& message) {
        const std::lock_guard lock{this->mutex};
        if (this->messages.full()) {
            ++this->refused;
            return {};
        }
        const bool was_empty = this->messages.empty();
        this->messages.push_back(std::move(message));
        return {true, was_empty};
    }

    /// Takes all messages, oldest first.
    std::vector<Message> take_all() {
        std::vector<Message> taken;
        const std::lock_guard lock{this->mutex};
        taken.reserve(this->messages.size());
        for (Message& message : this->messages) {
            taken.push_back(std::move(message));
        }
        this->messages.clear();
        return taken;
    }

    /// How many messages wait.
    [[nodiscard]] std::size_t size() const {
        const std::lock_guard lock{this->mutex};
        return this->messages.size();
    }

    /// How many messages were refused because the ring was full.
    [[nodiscard]] std::size_t refused_count() const {
        const std::lock_guard lock{this->mutex};
        return this->refused;
    }

private:
    mutable std::mutex mutex;
    /// Never grows beyond its capacity; guarded by `mutex`.
    boost::circular_buffer<Message> messages;
    std::size_t refused{0};
};

} // namespace apricotstile

#endif
