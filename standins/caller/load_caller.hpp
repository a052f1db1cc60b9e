// Makes calls at a stated rate, whatever becomes of them, and logs every
// attempt.

#ifndef APRICOTSTILE_STANDINS_CALLER_LOAD_CALLER_HPP
#define APRICOTSTILE_STANDINS_CALLER_LOAD_CALLER_HPP

#include <apricotstile/http/client_pool.hpp>
#include <standins/caller/attempt.hpp>
#include <standins/caller/call_generator.hpp>
#include <standins/caller/load_settings.hpp>

#include <QObject>
#include <QTimer>

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace apricotstile::standins {

class load_caller {
public:
    /// Throws std::runtime_error when the log can't be opened.
    explicit load_caller(const load_settings& chosen);

    /// Offers no new calls; the event loop ends once none is open.
    void stop();

private:
    struct daemon_pool {
        std::string name;
        std::unique_ptr<http::client_pool> pool;
    };

    /// One call from its due time to its last attempt.
    struct open_call {
        planned_call call;
        instant due{};
        std::uint32_t attempts_done{0};
    };

    using call_pointer = std::shared_ptr<open_call>;

    void offer_due_calls();
    void make_attempt(const call_pointer& open, std::uint32_t number);
    daemon_pool* pick_daemon();
    http::http_request request_for(const planned_call& call) const;
    void schedule_hang_up(
        const call_pointer& open,
        const attempt& made,
        http::client_pool& pool,
        http::client_exchange exchange
    );
    void attempt_done(const call_pointer& open, const attempt& made);
    void log(const attempt& made);
    void check_end();

    load_settings settings;
    call_generator generator;
    random_source daemon_choice;
    std::vector<daemon_pool> daemons;
    std::ofstream out;
    /// The latest ticket of each service and key.
    std::map<std::pair<std::string, std::string>, std::string> tickets;
    instant next_due{};
    instant last_due{};
    /// Calls whose last attempt isn't done.
    std::size_t open_calls{0};
    bool stopping{false};
    QObject context;
    QTimer ticks;
};

} // namespace apricotstile::standins

#endif
