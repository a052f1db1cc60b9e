// Several daemons in one process, with an upstream beside each and a table that
// they share. Everything runs on real sockets on the loopback interface.

#ifndef APRICOTSTILE_TESTS_ROUTER_DAEMON_GROUP_HPP
#define APRICOTSTILE_TESTS_ROUTER_DAEMON_GROUP_HPP

#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/router/router.hpp>
#include <tests/router/fake_upstream.hpp>
#include <tests/support/fake_table.hpp>

#include <QTcpSocket>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::tests {

/// `fake_table` behind the daemons' interface; answers come from the event
/// loop. Each daemon has one of its own, on the same rows.
class loopback_table : public platform::shared_table {
public:
    loopback_table(fake_table& rows, net::timer_queue& timers);
    ~loopback_table() override;

    void
    submit(const platform::transaction& work, commit_handler done) override;
    void read(const std::string& scope, read_handler done) override;
    void follow(const std::string& table, change_handler on_change) override;
    void set_era_handler(era_handler on_era) override;
    /// Calls `done` if the table answers a call for changes.
    void poll(std::function<void()> done);

private:
    void answer(std::function<void(bool of_this_era)> done);
    bool note_era(platform::table_era prepared_in);

    fake_table& rows;
    net::timer_queue& timers;
    platform::table_era era{platform::first_era};
    bool era_known{false};
    era_handler on_era;
    /// Expires with this object, so that late answers are dropped.
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

struct daemon_group_options {
    /// Services that are divided by key.
    std::vector<std::string> keyed;
    /// How long a leaving upstream may still get requests.
    duration drain_timeout{std::chrono::milliseconds{600}};
    /// Rate of each host's link as the daemons know it; zero if they don't.
    double link_bytes_per_second{0};
    /// Failure domains of the hosts, in order; one in each region for the
    /// rest.
    std::vector<std::string> domains{};
    /// Nothing: evacuations are off.
    std::optional<duration> evacuation_timeout{};
    /// Requests a second that a cold upstream tolerates; zero if it has no
    /// limit.
    double cold_per_second{0};
    /// The region of each daemon; all are in the same one if it is empty.
    std::vector<std::string> regions{};
};

class daemon_group {
public:
    /// Starts one daemon for each name in `services`, which is the service
    /// beside it, and waits until all are linked and ready. Route "/SERVICE/"
    /// leads to each service.
    explicit daemon_group(
        const std::vector<std::string>& services,
        const daemon_group_options& options = {}
    );
    ~daemon_group();

    /// Kills and starts daemon `index`; returns when it is ready and linked,
    /// and has accepted a heartbeat unless they are suspended.
    void restart_daemon(std::size_t index);
    /// Starts daemon `index` after it was killed; returns at once.
    void start_daemon(std::size_t index);
    /// Kills all daemons at the same moment and starts them again; returns when
    /// they are ready and linked.
    void restart_all_daemons();
    /// Kills daemon `index`.
    void stop_daemon(std::size_t index);
    /// Asks daemon `index` to stop, as for a planned restart.
    void begin_stop(std::size_t index);
    /// Whether daemon `index` has said that its process may exit.
    [[nodiscard]] bool has_stopped(std::size_t index) const;
    /// Whether daemon `index` accepts connections of callers.
    [[nodiscard]] bool accepts_callers(std::size_t index) const;
    /// Whether upstream `index` sends heartbeats.
    void send_heartbeats_of(std::size_t index, bool sends);
    /// What the later heartbeats of upstream `index` say.
    void set_state(std::size_t index, directory::instance_state state);
    /// How long the later heartbeats of upstream `index` say that it is cold.
    void set_cold_time(std::size_t index, duration remaining);
    /// Sends daemon `index` a heartbeat of another run than its upstream's;
    /// returns whether it is accepted.
    bool send_heartbeat_of_run(
        std::size_t index, const directory::instance_run& run
    );
    /// Sends daemon `index` a later heartbeat of its upstream that doesn't say
    /// which keys it holds; returns whether it is accepted.
    bool send_heartbeat_without_keys(std::size_t index);
    /// Sends daemon `index` a deregistration; returns whether it is accepted.
    bool send_deregistration(
        std::size_t index, const directory::deregistration& sent
    );
    /// Deregisters upstream `index`; returns when that is acknowledged.
    void deregister(std::size_t index);
    /// Deregisters upstream `index`; returns whether that is acknowledged.
    bool try_to_deregister(std::size_t index);
    /// Sends a heartbeat of upstream `index` that says that it drains; returns
    /// when that is acknowledged.
    void drain(std::size_t index);
    /// The table comes back from an older copy.
    void restore_older_table();
    /// While true, the table answers no call.
    void set_table_down(bool down);
    /// Writes the row that evacuates a failure domain.
    void evacuate(const std::string& domain);
    /// Removes that row.
    void end_evacuation(const std::string& domain);
    /// Applies a configuration of this version, with the same routes, to one
    /// daemon.
    void apply_config(std::size_t index, std::uint64_t version);
    /// Applies a configuration of this version to one daemon, in which the
    /// route to `service` allows only `regions`.
    void restrict_route(
        std::size_t index,
        std::uint64_t version,
        const std::string& service,
        const std::vector<region_id>& regions
    );
    /// Applies a configuration of this version to all daemons, in which the
    /// route to `from` leads to `to`.
    void move_route(
        std::uint64_t version, const std::string& from, const std::string& to
    );
    /// Sends a request to daemon `index` and returns its answer's status. All
    /// requests have the same key.
    int request(std::size_t index, const std::string& target);
    /// Sends a request to each daemon in turn, `rounds` times. Crashed
    /// upstreams are back before the next request.
    void send_to_all(const std::string& target, int rounds);
    /// Sends a request to daemon `index`; the answer can be read from the
    /// socket.
    std::unique_ptr<QTcpSocket>
    begin_request(std::size_t index, const std::string& target);
    [[nodiscard]] fake_upstream& upstream(std::size_t index);
    /// Where daemon `index` listens for callers, and for peers.
    [[nodiscard]] const address& caller_address(std::size_t index) const;
    [[nodiscard]] const address& peer_address(std::size_t index) const;
    [[nodiscard]] nlohmann::json describe(std::size_t index) const;
    [[nodiscard]] duration drain_timeout() const;
    /// How often upstreams began to run `target`.
    [[nodiscard]] std::size_t runs_of(const std::string& target) const;
    /// Restarts the upstreams that are down and waits until their daemons have
    /// accepted heartbeats of the new runs.
    void restart_crashed_upstreams();

private:
    struct host;

    void start(host& one);
    static void take_grants(host& one, const keys::heartbeat_answer& answer);
    bool send_heartbeat(host& one);
    void send_heartbeats();
    void poll_tables();
    void deliver_evacuations(host& one);
    bool is_acknowledged(host& one);
    void wait_until_ready();

    fake_table rows;
    /// Changes of the operators' rows, in order; their versions count from 2.
    std::vector<routing::evacuation_change> evacuation_changes;
    net::timer_queue timers;
    std::vector<std::unique_ptr<host>> hosts;
    std::uint64_t last_request{0};
};

} // namespace apricotstile::tests

#endif
