// The bounded ring through which other threads reach a duty.

#ifndef APRICOTSTILE_DAEMON_INBOX_HPP
#define APRICOTSTILE_DAEMON_INBOX_HPP

#include <apricotstile/core/bounded_ring.hpp>

#include <QObject>

#include <functional>

namespace apricotstile::daemon {

/// Owned by the duty that consumes it; any thread may push.
template <class Message>
class inbox {
public:
    using handler = std::function<void(Message&&)>;

    explicit inbox(std::size_t capacity) : ring(capacity) {}

    /// Must be called in the consumer's thread, before the first push, with
    /// an object that lives in that thread.
    void open(QObject* consumer_context, handler consumer) {
        this->context = consumer_context;
        this->consume = std::move(consumer);
    }

    /// Drops what waits and whatever comes later: its consumer is being torn
    /// down. Must be called in the consumer's thread.
    void close() {
        this->consume = nullptr;
    }

    /// Returns false and leaves `message` as it is when the ring is full.
    bool push(Message& message) {
        const auto result = this->ring.try_push(message);
        if (result.was_empty) {
            QMetaObject::invokeMethod(
                this->context,
                [this] {
                    this->drain();
                },
                Qt::QueuedConnection
            );
        }
        return result.pushed;
    }

    bool push(Message&& message) {
        return this->push(message);
    }

    [[nodiscard]] std::size_t size() const {
        return this->ring.size();
    }

    [[nodiscard]] std::size_t refused_count() const {
        return this->ring.refused_count();
    }

private:
    void drain() {
        for (Message& message : this->ring.take_all()) {
            if (this->consume) {
                this->consume(std::move(message));
            }
        }
    }

    bounded_ring<Message> ring;
    QObject* context{nullptr};
    handler consume;
};

} // namespace apricotstile::daemon

#endif
