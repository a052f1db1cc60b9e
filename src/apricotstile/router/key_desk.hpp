// The keys of the service beside this daemon: runs the keeper's decisions
// against the platform's table.

#ifndef APRICOTSTILE_ROUTER_KEY_DESK_HPP
#define APRICOTSTILE_ROUTER_KEY_DESK_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/keeper.hpp>
#include <apricotstile/keys/takeover.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/platform/shared_table.hpp>
#include <apricotstile/router/frames.hpp>

#include <functional>
#include <map>

namespace apricotstile::router {

class key_desk {
public:
    /// What the desk needs of the rest of the daemon.
    struct surroundings {
        /// The members as this daemon sees them now.
        std::function<keys::takeover_view()> view;
        /// Work at the instance for each slot.
        std::function<double()> pressure;
        /// Daemons that may promise this one's lease, the best first.
        std::function<keys::guardian_list()> guardian_candidates;
        /// Whether a daemon is reached and is still beside this service: its
        /// address may have gone to another one.
        std::function<bool(host_id)> is_there;
        std::function<void(host_id, const frame&)> tell;
        std::function<void(const frame&)> tell_all;
        /// Whether this daemon, as a guardian, lets an owner go.
        std::function<bool(host_id, platform::row_version)> agree_to_depose;
    };

    key_desk(
        keys::keeper keeper,
        platform::shared_table& table,
        net::timer_queue& timers,
        surroundings around
    );
    key_desk(const key_desk&) = delete;
    key_desk& operator=(const key_desk&) = delete;
    ~key_desk() = default;

    [[nodiscard]] keys::heartbeat_answer
    take_heartbeat(const keys::heartbeat& beat);
    /// The instance leaves: its keys go to others.
    void start_departure();
    /// The instance is silent or gone; its keys go to others once its last
    /// grant has run out.
    void instance_left();
    [[nodiscard]] bool may_dispatch(keys::key_number key) const;
    /// A request for `key` came here.
    void count_request(keys::key_number key);
    /// A guardian's reply.
    void take_reply(host_id guardian, const frame& reply);
    /// A change that another daemon made; a gap has the map read.
    void take_change(const keys::map_change& change);
    [[nodiscard]] const keys::keeper& state() const;

private:
    void pump();
    void submit(const platform::transaction& work);
    void read_rows();
    void read_leases();
    void watch();
    void choose_guardians();
    void ask_promises();
    void ask_depositions();
    void balance();
    void release(const std::vector<keys::move>& moves, const char* why);

    keys::keeper keeper;
    keys::takeover_policy policy;
    platform::shared_table& table;
    net::timer_queue& timers;
    surroundings around;
    keys::key_load load;
    bool departing{false};
    bool reading{false};
    instant last_read;
    instant last_move;
    /// Moving mean of the pressure.
    double mean_pressure{0};
    instant retry_at;
    /// When each request for promises was sent, by its sequence.
    std::map<std::uint64_t, instant> asked;
    std::uint64_t last_asked{0};
    /// Since when owners and guardians aren't reached.
    std::map<host_id, instant> unreached;
};

} // namespace apricotstile::router

#endif
