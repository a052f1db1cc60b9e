// Manages the keys of the local service: submits the changes that the key owner
// decides on to the platform's table and exchanges messages with other daemons.

#ifndef APRICOTSTILE_ROUTER_LOCAL_KEY_MANAGER_HPP
#define APRICOTSTILE_ROUTER_LOCAL_KEY_MANAGER_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/key_owner.hpp>
#include <apricotstile/keys/load_rebalancing.hpp>
#include <apricotstile/keys/takeover.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/platform/shared_table.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace apricotstile::sidecar {
class key_call_sender;
}

namespace apricotstile::router {

class local_key_manager {
public:
    /// Functions that the rest of the daemon provides.
    struct dependency_functions {
        /// The members that this daemon considers available now.
        std::function<keys::membership_view()> view;
        /// The instance's current load; `owned_key_load` is left at zero.
        std::function<keys::instance_load()> load;
        /// Daemons that can act as guardians of this daemon's lease, in order
        /// of preference.
        std::function<keys::guardian_list()> guardian_candidates;
        /// Whether the daemon at this address is reachable and still serves
        /// this service; the address may have been reassigned to a daemon of
        /// another service.
        std::function<bool(host_id)> is_reachable_member;
        std::function<void(host_id, const peer::frame&)> send;
        std::function<void(const peer::frame&)> broadcast;
        /// Sends the instance's load to all daemons.
        std::function<void()> broadcast_load;
        /// Whether this daemon, as a guardian, consents to the revocation of an
        /// owner's lease at this version.
        std::function<bool(host_id, platform::row_version)>
            consent_to_revocation;
    };

    /// `calls` grants and releases keys; null if the instance gets them in the
    /// answers to its heartbeats.
    local_key_manager(
        keys::key_owner key_owner,
        platform::shared_table& table,
        net::timer_queue& timers,
        dependency_functions dependencies,
        std::unique_ptr<sidecar::key_call_sender> calls
    );
    local_key_manager(const local_key_manager&) = delete;
    local_key_manager& operator=(const local_key_manager&) = delete;
    ~local_key_manager();

    void set_takeover_policy(const keys::takeover_policy& policy);
    /// Whether the instance gets its keys in the answers to its heartbeats, and
    /// says in them what it holds.
    [[nodiscard]] bool grants_by_heartbeat() const;
    /// Handles a heartbeat of the local instance; the answer has the ranges
    /// that are granted to it.
    [[nodiscard]] keys::heartbeat_answer
    handle_heartbeat(const keys::heartbeat& beat);
    /// Starts to release all keys to other members, as the instance or this
    /// daemon is shutting down.
    void release_all_keys();
    /// The instance stays after all. Keys that have begun to move go on doing
    /// so; the others stay.
    void keep_remaining_keys();
    /// The instance has stopped or sends no more heartbeats. Its keys are
    /// transferred to other members once its last grant has expired.
    void handle_instance_stopped();
    /// Whether a request for `key` may be sent to the local instance now.
    [[nodiscard]] bool may_dispatch(keys::key_number key) const;
    /// Counts a request for `key` that arrived at this daemon; `work` is its
    /// expected service time.
    void add_request_work(keys::key_number key, duration work);
    /// Handles a reply of a guardian, or of a member that was asked for
    /// capacity.
    void handle_reply(host_id peer, const peer::frame& reply);
    /// Answers a member that wants to move some of its keys here.
    [[nodiscard]] peer::capacity_reply
    reserve_capacity(host_id owner, const peer::capacity_request& request);
    /// Submits another owner's release, together with others.
    void
    handle_release_request(host_id owner, const keys::relayed_release& release);
    /// Handles the owner's reply to an offer.
    void
    handle_capacity_claim(host_id owner, const peer::capacity_claim& claim);
    /// Applies a change that another daemon made. If earlier changes are
    /// missing and don't arrive in time, the map is read again.
    void apply_map_change(const keys::key_map_change& change);
    /// The table has been restored from an older copy; see `keys::begin_era`.
    /// The first transaction of the era is submitted after `delay`.
    void
    begin_era(platform::table_era era, bool is_first_start, duration delay);
    [[nodiscard]] const keys::key_owner& owner_state() const;

private:
    void advance();
    void advance_table();
    void advance_calls();
    void handle_heartbeat_for_calls(bool is_new_run);
    void send_grant(const keys::grant_call& call);
    void send_release(const keys::release_call& call);
    void begin_pending_era();
    void submit(const platform::transaction& transaction);
    void handle_result(const platform::commit_result& result);
    [[nodiscard]] std::optional<host_id>
    relaying_member(const keys::membership_view& view) const;
    void
    send_release_request(host_id member, const keys::relayed_release& release);
    void handle_release_reply(const peer::release_reply& reply);
    void drop_relayed_releases();
    [[nodiscard]] std::vector<keys::relayed_release> due_relayed_releases();
    void note_relayed_in_flight(std::size_t count);
    void answer_relayed_releases(
        const platform::commit_result& result,
        const std::optional<keys::key_map_change>& change
    );
    void back_off(bool is_conflict);
    void read_rows();
    void read_leases();
    void log_unreadable_rows();
    void poll_leases();
    void choose_guardians();
    void request_promises();
    void request_revocations();
    void balance();
    [[nodiscard]] keys::instance_load current_load() const;
    bool release_if_failing(const keys::membership_view& view);
    void request_capacity(double wanted, const std::vector<host_id>& members);
    void handle_offer(host_id member, const peer::capacity_reply& offer);
    void accept_offers();
    std::size_t release_to_member(const keys::load_share& part);
    void release(const std::vector<keys::key_move>& moves, const char* why);

    /// Another owner's release that this daemon submits.
    struct waiting_release {
        instant arrived;
        keys::relayed_release release;
    };

    struct pending_era {
        platform::table_era era;
        bool is_first_start{false};
    };

    keys::key_owner key_owner;
    keys::takeover_policy takeover_policy;
    platform::shared_table& table;
    net::timer_queue& timers;
    dependency_functions dependencies;
    std::unique_ptr<sidecar::key_call_sender> calls;
    keys::key_load load;
    /// Whether all keys are to be released; see `release_all_keys`.
    bool departing{false};
    /// Whether the instance fails many of its requests while most other
    /// instances don't.
    bool failing{false};
    bool read_in_progress{false};
    /// An era to begin once no transaction is in flight.
    std::optional<pending_era> next_era;
    instant last_read_at;
    /// Rows that were left out as they can't be read.
    std::uint64_t left_out_rows{0};
    instant last_move_at;
    /// Releases of other owners.
    std::vector<waiting_release> relayed_waiting;
    std::vector<waiting_release> relayed_in_flight;
    /// This owner's release that another member submits; zero if there is none.
    std::uint64_t relayed_release{0};
    std::uint64_t last_relayed_release{0};
    /// Releases aren't relayed before, as the member hasn't answered.
    instant no_relay_before;
    /// Exponential moving average of running and waiting requests at the
    /// instance.
    double mean_work{0};
    keys::rebalancing_policy rebalancing_policy;
    /// Capacity of the instance that is reserved for other owners.
    keys::capacity_reservations reserved_capacity;
    std::uint64_t last_capacity_request{0};
    /// Slots that the last capacity request asked for.
    double requested_slots{0};
    std::vector<keys::capacity_offer> offers;
    random_source random;
    instant retry_at;
    /// The last delay after a conflict or a failure; zero after a success.
    duration backoff{0};
    /// Send times of recent promise requests, by sequence number.
    std::map<std::uint64_t, instant> promise_request_times;
    std::uint64_t last_promise_request{0};
    /// Whether some other owner of keys is unreachable.
    bool is_owner_unreachable{false};
    /// Since when owners and guardians have been unreachable.
    std::map<host_id, instant> unreachable_since;
};

} // namespace apricotstile::router

#endif
