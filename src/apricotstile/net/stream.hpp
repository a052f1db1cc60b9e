// One TCP connection on Qt's event loop. QTcpSocket doesn't tell a reset from
// an orderly end, which an answer without a length depends on.

#ifndef APRICOTSTILE_NET_STREAM_HPP
#define APRICOTSTILE_NET_STREAM_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>

#include <QObject>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace apricotstile::net {

enum class stream_end : std::uint8_t {
    /// The peer closed its side after its last byte.
    orderly,
    /// Reset, timed out or unreachable.
    broken,
    /// It never opened, so no byte has left.
    not_opened
};

/// Deletes itself once it has ended, or was closed or aborted; handlers may
/// close it.
class stream : public QObject {
public:
    /// Connects to `where`; `on_open` runs when it is open.
    explicit stream(const address& where, duration open_timeout);
    /// Takes over an accepted socket.
    explicit stream(int descriptor);
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream() override;

    std::function<void()> on_open;
    std::function<void(std::string_view)> on_data;
    /// Runs once, never from inside `write` or `close`.
    std::function<void(stream_end)> on_end;

    /// Sends `bytes`, at once where the kernel takes them.
    void write(std::string_view bytes);
    /// Closes after the written bytes; no handler runs any more.
    void close();
    /// Closes with a reset, dropping what is unsent; no handler runs any more.
    void abort();

    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    struct state;

    void watch_writes();
    void opened();
    void readable();
    void writable();
    void end(stream_end how);
    void release();

    std::unique_ptr<state> self;
};

} // namespace apricotstile::net

#endif
