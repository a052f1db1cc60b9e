// The keys of the service beside this daemon: runs the keeper's decisions
// against the platform's table.

#ifndef APRICOTSTILE_ROUTER_KEY_DESK_HPP
#define APRICOTSTILE_ROUTER_KEY_DESK_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/keeper.hpp>
#include <apricotstile/keys/relief.hpp>
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
        /// The instance's load, but for what its keys are worth.
        std::function<keys::key_service_load()> load;
        /// Daemons that may promise this one's lease, the best first.
        std::function<keys::guardian_list()> guardian_candidates;
        /// Whether a daemon is reached and is still beside this service: its
        /// address may have gone to another one.
        std::function<bool(host_id)> is_there;
        std::function<void(host_id, const frame&)> tell;
        std::function<void(const frame&)> tell_all;
        /// Tells all daemons the instance's load.
        std::function<void()> tell_load;
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
    /// A request for `key` came here, which is expected to take `work`.
    void count_request(keys::key_number key, duration work);
    /// A reply of a guardian, or of a member that was asked for room.
    void take_reply(host_id peer, const frame& reply);
    /// A member asks for room for its keys.
    [[nodiscard]] room_reply
    offer_room(host_id owner, const room_request& asked);
    void take_claim(host_id owner, const room_claim& claim);
    /// A change that another daemon made; a gap has the map read.
    void take_change(const keys::map_change& change);
    [[nodiscard]] const keys::keeper& state() const;

private:
    void pump();
    void submit(const platform::transaction& work);
    [[nodiscard]] duration conflict_pause();
    void read_rows();
    void read_leases();
    void watch();
    void choose_guardians();
    void ask_promises();
    void ask_depositions();
    void balance();
    [[nodiscard]] keys::key_service_load present_load() const;
    bool leave_failing(const keys::takeover_view& view);
    void ask_for_room(double wanted, const std::vector<host_id>& members);
    void take_offer(host_id member, const room_reply& offer);
    void take_offers();
    std::size_t give_keys(const keys::relief_part& part);
    void release(const std::vector<keys::move>& moves, const char* why);

    keys::keeper keeper;
    keys::takeover_policy policy;
    platform::shared_table& table;
    net::timer_queue& timers;
    surroundings around;
    keys::key_load load;
    bool departing{false};
    /// Whether the instance alone fails its requests.
    bool failing{false};
    bool reading{false};
    instant last_read;
    instant last_move;
    /// Moving mean of the work at the instance.
    double mean_work{0};
    keys::relief_policy relief;
    /// What this daemon has offered to owners.
    keys::room_book room;
    std::uint64_t last_room_request{0};
    /// What is wanted of the members that were asked last.
    double wanted_room{0};
    std::vector<keys::room_offer> offers;
    random_source random;
    instant retry_at;
    /// When each request for promises was sent, by its sequence.
    std::map<std::uint64_t, instant> asked;
    std::uint64_t last_asked{0};
    /// Since when owners and guardians aren't reached.
    std::map<host_id, instant> unreached;
};

} // namespace apricotstile::router

#endif
