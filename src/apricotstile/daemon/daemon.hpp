// All duties of one daemon, joined by their inboxes.

#ifndef APRICOTSTILE_DAEMON_DAEMON_HPP
#define APRICOTSTILE_DAEMON_DAEMON_HPP

#include <apricotstile/settings/daemon_settings.hpp>

#include <functional>
#include <memory>

namespace apricotstile::daemon {

class daemon {
public:
    /// `on_drain` runs, in any thread, when an operator asks for a drain.
    daemon(
        const settings::daemon_settings& settings,
        std::function<void()> on_drain
    );
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Starts all duties. Throws `std::runtime_error` when an address can't
    /// be listened on.
    void start();
    /// Takes no new work, waits for work in flight, then stops all duties.
    /// Gives up waiting after the longest deadline a request may have.
    void drain_and_stop();

private:
    struct parts;

    std::unique_ptr<parts> self;
};

} // namespace apricotstile::daemon

#endif
