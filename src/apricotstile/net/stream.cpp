// Non-blocking reads and writes, driven by Qt's socket notifiers.

#include <apricotstile/net/stream.hpp>

#include <apricotstile/net/internal/socket_options.hpp>

#include <QSocketNotifier>
#include <QTimer>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotstile::net {

namespace {

constexpr std::size_t read_chunk_bytes = 16U << 10U;
/// Bounds the work of one wake-up, so that one peer can't monopolize the event
/// loop.
constexpr int max_chunks_per_wake_up = 8;

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

struct stream::state {
    int descriptor{-1};
    bool open{false};
    /// The connection closes once `unsent` is empty.
    bool closing{false};
    /// Bytes that the kernel hasn't accepted yet.
    std::string unsent;
    std::unique_ptr<QSocketNotifier> read_notifier;
    std::unique_ptr<QSocketNotifier> write_notifier;
    std::unique_ptr<QTimer> open_timer;
};

stream::stream(const address& where, duration open_timeout)
    : self(std::make_unique<state>()) {
    this->self->descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto fail_later = [this] {
        QTimer::singleShot(0, this, [this] {
            this->end(stream_end::not_opened);
        });
    };
    if (this->self->descriptor < 0) {
        fail_later();
        return;
    }
    internal::set_stream_options(this->self->descriptor);
    const sockaddr_in target = internal::to_socket_address(where);
    const int result = ::connect(
        this->self->descriptor,
        reinterpret_cast<const sockaddr*>(&target),
        sizeof target
    );
    if (result != 0 && errno != EINPROGRESS) {
        fail_later();
        return;
    }
    this->watch_writes();
    this->self->open_timer = std::make_unique<QTimer>();
    this->self->open_timer->setSingleShot(true);
    this->self->open_timer->callOnTimeout(this, [this] {
        this->end(stream_end::not_opened);
    });
    this->self->open_timer->start(
        std::chrono::duration_cast<std::chrono::milliseconds>(open_timeout)
    );
}

stream::stream(int descriptor) : self(std::make_unique<state>()) {
    this->self->descriptor = descriptor;
    internal::set_stream_options(descriptor);
    this->opened();
}

stream::~stream() {
    this->release();
}

void stream::watch_writes() {
    this->self->write_notifier = std::make_unique<QSocketNotifier>(
        this->self->descriptor, QSocketNotifier::Write
    );
    QObject::connect(
        this->self->write_notifier.get(),
        &QSocketNotifier::activated,
        this,
        [this] {
            this->writable();
        }
    );
}

void stream::opened() {
    this->self->open = true;
    this->self->open_timer.reset();
    this->self->read_notifier = std::make_unique<QSocketNotifier>(
        this->self->descriptor, QSocketNotifier::Read
    );
    QObject::connect(
        this->self->read_notifier.get(),
        &QSocketNotifier::activated,
        this,
        [this] {
            this->readable();
        }
    );
}

void stream::write(std::string_view bytes) {
    if (this->self->descriptor < 0 || this->self->closing) {
        return;
    }
    if (!this->self->open || !this->self->unsent.empty()) {
        this->self->unsent += bytes;
        return;
    }
    const ssize_t sent =
        send(this->self->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && !would_block()) {
        // The read notifier reports the lost connection.
        return;
    }
    bytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (bytes.empty()) {
        return;
    }
    this->self->unsent = bytes;
    if (!this->self->write_notifier) {
        this->watch_writes();
    }
    this->self->write_notifier->setEnabled(true);
}

void stream::writable() {
    if (!this->self->open) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(this->self->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            this->end(stream_end::not_opened);
            return;
        }
        this->opened();
        if (this->on_open) {
            this->on_open();
        }
        if (this->self->descriptor < 0) {
            return;
        }
    }
    if (!this->self->unsent.empty()) {
        const ssize_t sent = send(
            this->self->descriptor,
            this->self->unsent.data(),
            this->self->unsent.size(),
            MSG_NOSIGNAL
        );
        if (sent < 0 && !would_block()) {
            this->end(stream_end::broken);
            return;
        }
        if (sent > 0) {
            this->self->unsent.erase(0, static_cast<std::size_t>(sent));
        }
    }
    if (!this->self->unsent.empty()) {
        return;
    }
    this->self->write_notifier->setEnabled(false);
    if (this->self->closing) {
        this->release();
        this->deleteLater();
        return;
    }
}

void stream::readable() {
    std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
    for (int round = 0; round < max_chunks_per_wake_up; ++round) {
        const ssize_t got =
            recv(this->self->descriptor, chunk.data(), chunk.size(), 0);
        if (got < 0) {
            if (!would_block()) {
                this->end(stream_end::broken);
            }
            return;
        }
        if (got == 0) {
            this->end(stream_end::orderly);
            return;
        }
        if (this->on_data && !this->self->closing) {
            this->on_data({chunk.data(), static_cast<std::size_t>(got)});
        }
        const bool stopped = this->self->descriptor < 0 ||
                             !this->self->read_notifier ||
                             !this->self->read_notifier->isEnabled();
        // A short read means that the receive buffer is empty.
        if (stopped || static_cast<std::size_t>(got) < chunk.size()) {
            return;
        }
    }
}

void stream::end(stream_end how) {
    if (this->self->descriptor < 0 && this->self->open) {
        return;
    }
    const bool tell = !this->self->closing;
    this->release();
    this->deleteLater();
    if (tell && this->on_end) {
        const auto handler = std::move(this->on_end);
        this->on_end = nullptr;
        handler(how);
    }
}

void stream::close() {
    this->on_open = nullptr;
    this->on_end = nullptr;
    if (this->self->descriptor < 0 || this->self->closing) {
        return;
    }
    if (!this->self->open || this->self->unsent.empty()) {
        this->release();
        this->deleteLater();
        return;
    }
    this->self->closing = true;
}

void stream::abort() {
    this->on_open = nullptr;
    this->on_end = nullptr;
    if (this->self->descriptor < 0) {
        return;
    }
    const linger reset{1, 0};
    setsockopt(
        this->self->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset
    );
    this->release();
    this->deleteLater();
}

bool stream::is_open() const {
    return this->self->open && this->self->descriptor >= 0 &&
           !this->self->closing;
}

std::size_t stream::unsent_bytes() const {
    return this->self->unsent.size();
}

void stream::release() {
    const auto drop = [](std::unique_ptr<QSocketNotifier>& notifier) {
        if (notifier) {
            notifier->setEnabled(false);
            // This may run in a handler of this notifier's own signal.
            notifier.release()->deleteLater();
        }
    };
    drop(this->self->read_notifier);
    drop(this->self->write_notifier);
    if (this->self->open_timer) {
        this->self->open_timer->stop();
        this->self->open_timer.release()->deleteLater();
    }
    if (this->self->descriptor >= 0) {
        ::close(this->self->descriptor);
        this->self->descriptor = -1;
    }
}

} // namespace apricotstile::net
