// The daemon's entry point: settings, signals and the graceful stop.
// Exit status: 0 stopped gracefully, 1 failed to start, 2 bad command line or
// settings.

#include <apricotstile/daemon/daemon.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/settings/daemon_command_line.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <QCoreApplication>

#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <unistd.h>

namespace {

namespace options = boost::program_options;
using namespace apricotstile;

constexpr int exit_failed_to_start = 1;
constexpr int exit_bad_input = 2;

settings::daemon_program program() {
    return {
        "apricotstiled",
        APRICOTSTILE_VERSION,
        "routes requests to the owners of their keys.",
        "file with the daemon's settings",
        "--settings is required",
        {}};
}

/// Blocks the stop signals in this thread and all that it starts.
sigset_t block_stop_signals() {
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    return stops;
}

int run(const settings::daemon_settings& settings) {
    const sigset_t stops = block_stop_signals();
    log::set_level(settings.log_level);
    const log::writer_thread writer;
    // An operator's drain takes the same way as a signal.
    daemon::daemon instance{settings, [] {
                                kill(getpid(), SIGTERM);
                            }};
    try {
        instance.start();
    } catch (const std::runtime_error& error) {
        log::write(
            log::level::error,
            "daemon",
            "Failed to start.",
            {{"reason", error.what()}}
        );
        return exit_failed_to_start;
    }
    int received = 0;
    sigwait(&stops, &received);
    instance.drain_and_stop();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const QCoreApplication application{argc, argv};
    try {
        const settings::daemon_command_line line =
            settings::parse_daemon_command_line(argc, argv, program());
        if (line.done) {
            return 0;
        }
        return run(settings::read_settings(line.settings_file));
    } catch (const options::error& error) {
        fmt::print(stderr, "apricotstiled: {}\n", error.what());
    } catch (const settings::settings_error& error) {
        fmt::print(stderr, "{}\n", error.what());
    }
    return exit_bad_input;
}
