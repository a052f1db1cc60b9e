// Non-blocking reads and writes, driven by Qt's socket notifiers.

#include <apricotstile/net/stream.hpp>

#include <apricotstile/net/internal/send_queue.hpp>
#include <apricotstile/net/internal/socket_options.hpp>

#include <QSocketNotifier>
#include <QTimer>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace apricotstile::net {

namespace {

constexpr std::size_t read_chunk_bytes = 16U << 10U;
/// Bounds the work of one wake-up, so that one peer can't monopolize the event
/// loop.
constexpr int max_chunks_per_wake_up = 8;

/// Pieces that one system call sends.
constexpr std::size_t max_pieces_per_call = 16;

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/// Sends the first pieces of the queue in one call; returns as `send` does.
ssize_t send_pieces(int descriptor, const internal::send_queue& queue) {
    std::array<iovec, max_pieces_per_call> parts{};
    std::size_t count = 0;
    for (const std::string_view bytes :
         internal::next_unsent(queue, max_pieces_per_call)) {
        // The kernel only reads what the entry refers to.
        parts.at(count) = {const_cast<char*>(bytes.data()), bytes.size()};
        ++count;
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    return sendmsg(descriptor, &message, MSG_NOSIGNAL);
}

} // namespace

struct stream::implementation {
    int descriptor{-1};
    bool open{false};
    /// The connection closes once `unsent` is empty.
    bool closing{false};
    /// The peer is told that no more follows once `unsent` is empty.
    bool ends_writing{false};
    internal::send_queue unsent;

    [[nodiscard]] bool has_unsent() const {
        return !this->unsent.pieces.empty();
    }

    std::unique_ptr<QSocketNotifier> read_notifier;
    std::unique_ptr<QSocketNotifier> write_notifier;
    std::unique_ptr<QTimer> open_timer;
};

stream::stream(const address& peer, duration open_timeout)
    : impl(std::make_unique<implementation>()) {
    this->impl->descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto schedule_failure = [this] {
        QTimer::singleShot(0, this, [this] {
            this->end(stream_end::not_opened);
        });
    };
    if (this->impl->descriptor < 0) {
        schedule_failure();
        return;
    }
    internal::set_stream_options(
        this->impl->descriptor, default_unacknowledged_timeout
    );
    const sockaddr_in target = internal::to_socket_address(peer);
    const int result = ::connect(
        this->impl->descriptor,
        reinterpret_cast<const sockaddr*>(&target),
        sizeof target
    );
    if (result != 0 && errno != EINPROGRESS) {
        schedule_failure();
        return;
    }
    this->watch_writable();
    this->impl->open_timer = std::make_unique<QTimer>();
    this->impl->open_timer->setSingleShot(true);
    this->impl->open_timer->callOnTimeout(this, [this] {
        this->end(stream_end::not_opened);
    });
    this->impl->open_timer->start(
        std::chrono::duration_cast<std::chrono::milliseconds>(open_timeout)
    );
}

stream::stream(int descriptor, duration unacknowledged_timeout)
    : impl(std::make_unique<implementation>()) {
    this->impl->descriptor = descriptor;
    internal::set_stream_options(descriptor, unacknowledged_timeout);
    this->handle_opened();
}

stream::~stream() {
    this->close_socket();
}

void stream::watch_writable() {
    this->impl->write_notifier = std::make_unique<QSocketNotifier>(
        this->impl->descriptor, QSocketNotifier::Write
    );
    QObject::connect(
        this->impl->write_notifier.get(),
        &QSocketNotifier::activated,
        this,
        [this] {
            this->handle_writable();
        }
    );
}

void stream::handle_opened() {
    this->impl->open = true;
    this->impl->open_timer.reset();
    this->impl->read_notifier = std::make_unique<QSocketNotifier>(
        this->impl->descriptor, QSocketNotifier::Read
    );
    QObject::connect(
        this->impl->read_notifier.get(),
        &QSocketNotifier::activated,
        this,
        [this] {
            this->read_pending();
        }
    );
}

void stream::write(std::string_view bytes) {
    const std::optional<std::size_t> sent = this->send_now(bytes);
    if (sent && *sent < bytes.size()) {
        internal::push_copy(this->impl->unsent, bytes.substr(*sent));
        this->wait_until_writable();
    }
}

void stream::write_shared(const shared_bytes& bytes) {
    const std::optional<std::size_t> sent = this->send_now(bytes);
    if (sent && *sent < bytes.size()) {
        internal::push_shared(this->impl->unsent, bytes, *sent);
        this->wait_until_writable();
    }
}

/// Sends what the kernel accepts, unless other bytes wait before `bytes`.
/// Returns how many it was, or nothing if the connection is of no use.
std::optional<std::size_t> stream::send_now(std::string_view bytes) {
    if (this->impl->descriptor < 0 || this->impl->closing) {
        return std::nullopt;
    }
    if (!this->impl->open || this->impl->has_unsent()) {
        return 0;
    }
    const ssize_t sent =
        send(this->impl->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && !would_block()) {
        // The read notifier reports the lost connection.
        return std::nullopt;
    }
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void stream::wait_until_writable() {
    if (!this->impl->open) {
        return;
    }
    if (!this->impl->write_notifier) {
        this->watch_writable();
    }
    this->impl->write_notifier->setEnabled(true);
}

void stream::handle_writable() {
    if (!this->impl->open) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(this->impl->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            this->end(stream_end::not_opened);
            return;
        }
        this->handle_opened();
        // The handler may abort the stream, which discards it.
        if (const auto handler = this->on_open) {
            handler();
        }
        if (this->impl->descriptor < 0) {
            return;
        }
    }
    if (this->impl->has_unsent()) {
        const ssize_t sent =
            send_pieces(this->impl->descriptor, this->impl->unsent);
        if (sent < 0 && !would_block()) {
            this->end(stream_end::broken);
            return;
        }
        if (sent > 0) {
            internal::note_sent(
                this->impl->unsent, static_cast<std::size_t>(sent)
            );
        }
    }
    if (this->impl->has_unsent()) {
        return;
    }
    this->impl->write_notifier->setEnabled(false);
    this->shut_down_if_ended();
    if (this->impl->closing) {
        this->close_socket();
        this->deleteLater();
        return;
    }
    // The handler may close the stream, which drops `on_drained`.
    if (const std::function<void()> handler = this->on_drained) {
        handler();
    }
}

stream::read_result stream::read_chunk() {
    std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
    const ssize_t received =
        recv(this->impl->descriptor, chunk.data(), chunk.size(), 0);
    if (received < 0) {
        if (would_block()) {
            return read_result::drained;
        }
        this->end(stream_end::broken);
        return read_result::stopped;
    }
    if (received == 0) {
        this->end(stream_end::orderly);
        return read_result::stopped;
    }
    if (this->on_data && !this->impl->closing) {
        this->on_data({chunk.data(), static_cast<std::size_t>(received)});
    }
    const bool stopped = this->impl->descriptor < 0 ||
                         !this->impl->read_notifier ||
                         !this->impl->read_notifier->isEnabled();
    if (stopped) {
        return read_result::stopped;
    }
    // A short read means that the receive buffer is empty, but not whether the
    // connection has ended.
    const bool is_short = static_cast<std::size_t>(received) < chunk.size();
    return is_short && !this->on_read_all ? read_result::drained
                                          : read_result::read;
}

void stream::read_pending() {
    read_result result = read_result::read;
    for (int chunks = 0;
         chunks < max_chunks_per_wake_up && result == read_result::read;
         ++chunks) {
        result = this->read_chunk();
    }
    if (result == read_result::stopped || this->impl->closing) {
        return;
    }
    // The handler may close the stream, which drops `on_read_all`.
    if (const std::function<void()> handler = this->on_read_all) {
        handler();
    }
}

void stream::read_later() {
    QTimer::singleShot(0, this, [this] {
        if (this->is_open()) {
            this->read_pending();
        }
    });
}

void stream::end(stream_end reason) {
    if (this->impl->descriptor < 0 && this->impl->open) {
        return;
    }
    const bool report_end = !this->impl->closing;
    this->close_socket();
    this->deleteLater();
    if (report_end && this->on_end) {
        const auto handler = std::move(this->on_end);
        this->on_end = nullptr;
        handler(reason);
    }
}

void stream::end_writing() {
    this->impl->ends_writing = true;
    this->shut_down_if_ended();
}

void stream::shut_down_if_ended() {
    if (this->impl->ends_writing && this->is_open() &&
        !this->impl->has_unsent()) {
        shutdown(this->impl->descriptor, SHUT_WR);
    }
}

void stream::close() {
    this->on_open = nullptr;
    this->on_read_all = nullptr;
    this->on_drained = nullptr;
    this->on_end = nullptr;
    if (this->impl->descriptor < 0 || this->impl->closing) {
        return;
    }
    if (!this->impl->open || !this->impl->has_unsent()) {
        this->close_socket();
        this->deleteLater();
        return;
    }
    this->impl->closing = true;
}

void stream::abort() {
    this->on_open = nullptr;
    this->on_read_all = nullptr;
    this->on_drained = nullptr;
    this->on_end = nullptr;
    if (this->impl->descriptor < 0) {
        return;
    }
    const linger reset{1, 0};
    setsockopt(
        this->impl->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset
    );
    this->close_socket();
    this->deleteLater();
}

bool stream::is_open() const {
    return this->impl->open && this->impl->descriptor >= 0 &&
           !this->impl->closing;
}

std::size_t stream::unsent_bytes() const {
    return this->impl->unsent.unsent_bytes;
}

std::size_t stream::copied_bytes() const {
    return this->impl->unsent.copied_bytes;
}

void stream::close_socket() {
    const auto delete_notifier = [](std::unique_ptr<QSocketNotifier>& notifier
                                 ) {
        if (notifier) {
            notifier->setEnabled(false);
            // This may run in a handler of this notifier's own signal.
            notifier.release()->deleteLater();
        }
    };
    delete_notifier(this->impl->read_notifier);
    delete_notifier(this->impl->write_notifier);
    if (this->impl->open_timer) {
        this->impl->open_timer->stop();
        this->impl->open_timer.release()->deleteLater();
    }
    this->impl->unsent = {};
    if (this->impl->descriptor >= 0) {
        ::close(this->impl->descriptor);
        this->impl->descriptor = -1;
    }
}

} // namespace apricotstile::net
