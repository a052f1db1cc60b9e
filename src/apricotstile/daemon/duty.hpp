// One thread with an event loop, which runs one part of the daemon.

#ifndef APRICOTSTILE_DAEMON_DUTY_HPP
#define APRICOTSTILE_DAEMON_DUTY_HPP

#include <nlohmann/json.hpp>

#include <QObject>
#include <QThread>

#include <functional>
#include <string>

namespace apricotstile::daemon {

class duty {
public:
    explicit duty(std::string name);
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;
    virtual ~duty();

    /// Starts the thread and runs `set_up` in it. Rethrows what it throws.
    void start();
    /// Runs `tear_down` in the thread and ends it.
    void stop();
    /// Runs `work` in the thread and waits for it. Not from that thread.
    void run(const std::function<void()>& work);
    /// The state for a dump, taken in the thread.
    [[nodiscard]] nlohmann::json describe();
    [[nodiscard]] const std::string& name() const;

protected:
    /// Called in the duty's thread, as are `tear_down` and `description`.
    virtual void set_up() = 0;
    virtual void tear_down() = 0;
    [[nodiscard]] virtual nlohmann::json description() const = 0;
    /// Lives in the duty's thread.
    [[nodiscard]] QObject* context();

private:
    std::string label;
    QThread thread;
    QObject loop_context;
};

} // namespace apricotstile::daemon

#endif
