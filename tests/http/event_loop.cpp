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

} // namespace apricotstile::tests
