// A signal handler that wakes the event loop through a pipe.

#include <standins/support/termination.hpp>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <stdexcept>
#include <unistd.h>

namespace apricotstile::standins {

namespace {

int wake_up_pipe[2] = {-1, -1};

void handle_signal(int) {
    const char byte = 0;
    // A full pipe means that a wake-up is on its way already.
    [[maybe_unused]] const auto written = write(wake_up_pipe[1], &byte, 1);
}

} // namespace

void on_termination(std::function<void()> stop) {
    if (pipe(wake_up_pipe) != 0) {
        throw std::runtime_error("can't make a pipe for signals");
    }
    auto* const notifier = new QSocketNotifier(
        wake_up_pipe[0], QSocketNotifier::Read, QCoreApplication::instance()
    );
    QObject::connect(
        notifier,
        &QSocketNotifier::activated,
        notifier,
        [stop = std::move(stop)] {
            char byte = 0;
            [[maybe_unused]] const auto got = read(wake_up_pipe[0], &byte, 1);
            stop();
        }
    );
    std::signal(SIGTERM, handle_signal);
    std::signal(SIGINT, handle_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace apricotstile::standins
