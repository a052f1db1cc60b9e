// Manages the keys of the local service: submits the changes that the keeper
// decides on to the platform's table and exchanges messages with other daemons.

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
    /// Functions that the rest of the daemon provides.
    struct surroundings {
        /// The members that this daemon considers available now.
        std::function<keys::takeover_view()> view;
        /// The instance's current load; `demand` is left at zero.
        std::function<keys::key_service_load()> load;
        /// Daemons that can act as guardians of this daemon's lease, in order
        /// of preference.
        std::function<keys::guardian_list()> guardian_candidates;
        /// Whether the daemon at this address is reachable and still serves
        /// this service; the address may have been reassigned to a daemon of
        /// another service.
        std::function<bool(host_id)> is_there;
        std::function<void(host_id, const frame&)> tell;
        std::function<void(const frame&)> tell_all;
        /// Sends the instance's load to all daemons.
        std::function<void()> tell_load;
        /// Whether this daemon, as a guardian, agrees to end the lease of an
        /// owner at this version.
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
    /// Starts to release all keys to other members, as the instance is
    /// shutting down.
    void start_departure();
    /// The instance has stopped or sends no more heartbeats. Its keys are
    /// transferred to other members once its last grant has expired.
    void instance_left();
    [[nodiscard]] bool may_dispatch(keys::key_number key) const;
    /// Counts a request for `key` that arrived at this daemon; `work` is its
    /// expected service time.
    void count_request(keys::key_number key, duration work);
    /// Handles a reply of a guardian, or of a member that was asked for
    /// capacity.
    void take_reply(host_id peer, const frame& reply);
    /// Answers a member that wants to move some of its keys here.
    [[nodiscard]] room_reply
    offer_room(host_id owner, const room_request& asked);
    void take_claim(host_id owner, const room_claim& claim);
    /// Applies a change that another daemon made. If earlier changes are
    /// missing and don't arrive in time, the map is read again.
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
    /// Whether the instance fails many of its requests while most other
    /// instances don't.
    bool failing{false};
    bool reading{false};
    instant last_read;
    instant last_move;
    /// Exponential moving average of running and waiting requests at the
    /// instance.
    double mean_work{0};
    keys::relief_policy relief;
    /// Capacity of the instance that is reserved for other owners.
    keys::room_book room;
    std::uint64_t last_room_request{0};
    /// Slots that the last capacity request asked for.
    double wanted_room{0};
    std::vector<keys::room_offer> offers;
    random_source random;
    instant retry_at;
    /// Send times of recent promise requests, by sequence number.
    std::map<std::uint64_t, instant> asked;
    std::uint64_t last_asked{0};
    /// Since when owners and guardians have been unreachable.
    std::map<host_id, instant> unreached;
};

} // namespace apricotstile::router

#endif
