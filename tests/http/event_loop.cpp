// The application object, and waiting with a timeout.

#include <tests/http/event_loop.hpp>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QTimer>

#include <array>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto max_wait = 20s;
constexpr auto wake_up_interval = 5ms;

} // namespace

void need_application() {
    static std::array<char, 5> name{"test"};
    static std::array<char*, 2> arguments{name.data(), nullptr};
    static int count = 1;
    static const QCoreApplication application{count, arguments.data()};
}

bool wait_until(const std::function<bool()>& done) {
    const QDeadlineTimer end{max_wait};
    // Wakes the event loop up while there are no other events.
    QTimer timer;
    timer.start(wake_up_interval);
    while (!done() && !end.hasExpired()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    return done();
}

address unused_address() {
    // 127.x.y.1 with x and y of this process. Outgoing connections on the
    // loopback interface come from 127.0.0.1.
    constexpr std::uint32_t loopback_network = 127U << 24U;
    constexpr std::uint32_t first_x = 1U << 16U;
    constexpr unsigned process_bits = 15;
    constexpr unsigned y_shift = 8;
    constexpr std::uint16_t first_port = 20'000;
    static std::uint16_t next_port = first_port;
    const auto process = static_cast<std::uint32_t>(
        QCoreApplication::applicationPid() & ((1 << process_bits) - 1)
    );
    return {loopback_network + first_x + (process << y_shift) + 1, next_port++};
}

} // namespace apricotstile::tests
