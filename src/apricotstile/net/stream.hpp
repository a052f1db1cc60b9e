// One TCP connection on Qt's event loop. QTcpSocket doesn't distinguish a reset
// from an orderly shutdown, but only the latter completes an HTTP response that
// has no Content-Length.

#ifndef APRICOTSTILE_NET_STREAM_HPP
#define APRICOTSTILE_NET_STREAM_HPP

#include <apricotstile/core/shared_bytes.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>

#include <QObject>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::net {

enum class stream_end : std::uint8_t {
    /// The peer shut down its side after sending all its data.
    orderly,
    /// The connection was reset, timed out or became unreachable.
    broken,
    /// The connection was never established, so nothing was sent.
    not_opened
};

/// A peer that acknowledges nothing for this long, or makes no room for more
/// than small pieces, counts as unreachable.
inline constexpr duration default_unacknowledged_timeout =
    std::chrono::milliseconds{2500};

/// Deletes itself after the connection has ended or was closed or aborted.
/// Handlers may call `close` and `abort`.
class stream : public QObject {
public:
    /// Starts to connect; `on_open` runs when the connection is established,
    /// `on_end` if that fails or takes longer than `open_timeout`.
    explicit stream(const address& peer, duration open_timeout);
    /// Takes ownership of an accepted socket.
    explicit stream(
        int descriptor,
        duration unacknowledged_timeout = default_unacknowledged_timeout
    );
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream() override;

    std::function<void()> on_open;
    std::function<void(std::string_view)> on_data;
    /// Runs after `on_data` when all bytes that have arrived were passed on and
    /// the connection hasn't ended behind them. Only if it is set, such an end
    /// is sure to be noticed at the same time as the bytes before it.
    std::function<void()> on_read_all;
    /// Runs when the kernel has accepted all bytes that were buffered; never
    /// from inside `write`.
    std::function<void()> on_drained;
    /// Runs at most once, never from inside `write` or `close`.
    std::function<void(stream_end)> on_end;

    /// Sends `bytes`; buffers what the kernel doesn't accept yet.
    void write(std::string_view bytes);
    /// The same without a copy: `bytes` stay in memory until they are sent.
    void write_shared(const shared_bytes& bytes);
    /// Reads what has arrived, without waiting for the event loop.
    void read_pending();
    /// Reads what has arrived with the next turn of the event loop, also if
    /// nothing more arrives.
    void read_later();
    /// Tells the peer, behind the buffered bytes, that no more follow. What it
    /// sends is still read. Nothing may be written afterwards.
    void end_writing();
    /// Closes the connection after sending the buffered bytes; no handler runs
    /// afterwards.
    void close();
    /// Resets the connection and discards unsent bytes; no handler runs
    /// afterwards.
    void abort();

    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Memory of the unsent bytes that aren't shared.
    [[nodiscard]] std::size_t copied_bytes() const;

private:
    struct implementation;

    [[nodiscard]] std::optional<std::size_t> send_now(std::string_view bytes);
    void wait_until_writable();
    void watch_writable();
    void handle_opened();
    void shut_down_if_ended();
    enum class read_result : std::uint8_t {
        /// There may be more bytes.
        read,
        /// All bytes that have arrived were passed on.
        drained,
        /// The connection has ended or was closed.
        stopped
    };

    [[nodiscard]] read_result read_chunk();
    void handle_writable();
    void end(stream_end reason);
    void close_socket();

    std::unique_ptr<implementation> impl;
};

} // namespace apricotstile::net

#endif
