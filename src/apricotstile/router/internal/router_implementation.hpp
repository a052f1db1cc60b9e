// The components and state of a daemon, for the files that implement it.

#ifndef APRICOTSTILE_ROUTER_INTERNAL_ROUTER_IMPLEMENTATION_HPP
#define APRICOTSTILE_ROUTER_INTERNAL_ROUTER_IMPLEMENTATION_HPP

#include <apricotstile/directory/directory.hpp>
#include <apricotstile/edge/request_router.hpp>
#include <apricotstile/keys/key_lease_guardian.hpp>
#include <apricotstile/keys/key_map_change.hpp>
#include <apricotstile/peer/answer_sender.hpp>
#include <apricotstile/peer/peer_links.hpp>
#include <apricotstile/router/departure_recorder.hpp>
#include <apricotstile/router/local_key_manager.hpp>
#include <apricotstile/router/quarantine_recorder.hpp>
#include <apricotstile/router/router.hpp>
#include <apricotstile/router/table_view.hpp>
#include <apricotstile/routing/config_readers.hpp>
#include <apricotstile/routing/evacuations.hpp>
#include <apricotstile/serving/memory_budget.hpp>
#include <apricotstile/sidecar/local_instance.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace apricotstile::router {

/// A draining instance gets its last requests this long before its drain
/// timeout.
inline constexpr duration drain_margin = std::chrono::milliseconds{400};

/// How long a starting daemon waits for the store before it relies on its peers
/// for the configuration and its instance's departures, and the delay between
/// two requests for a configuration.
inline constexpr duration store_wait_timeout = std::chrono::milliseconds{1500};

struct router::implementation {
    implementation(
        const router_settings& settings, platform::shared_table& table
    );

    void handle_new_era(const platform::era_change& change);
    [[nodiscard]] bool is_first_start() const;
    void publish_entry();
    bool change_state(directory::instance_state state, const char* why);
    [[nodiscard]] directory::instance_state permitted_state() const;
    void begin_drain(const char* source);
    void add_departure(
        const directory::departure& added, const char* source, bool known
    );
    void
    learn_departures(const directory::departures& learned, const char* source);
    [[nodiscard]] bool knows_departures() const;
    [[nodiscard]] bool has_departed() const;
    void close_after_drain();
    void apply_evacuations(const routing::evacuation_changes& update);
    void handle_evacuation_notice(
        host_id peer, const peer::evacuation_notice& notice
    );
    void handle_evacuation_difference(
        const routing::evacuation_difference& difference, const char* source
    );
    [[nodiscard]] std::optional<peer::evacuation_notice>
    make_evacuation_notice() const;
    void send_evacuation_notice();
    [[nodiscard]] bool knows_evacuations() const;
    [[nodiscard]] bool is_evacuated(const location& where) const;
    [[nodiscard]] bool may_serve_keys(const location& where) const;
    [[nodiscard]] std::optional<instant> own_key_service_end() const;
    void begin_evacuation();
    void update_evacuation();
    void close_evacuated_instance(const char* why);
    void end_evacuation();
    [[nodiscard]] std::uint64_t owned_keys() const;
    [[nodiscard]] nlohmann::json describe_evacuations() const;
    void ask_peers_to_keep_departures();
    [[nodiscard]] bool may_write_entry() const;
    void write_entry();
    void
    merge_entry(const directory::member_entry& received, const char* source);
    void apply_config(routing::routing_config config, const char* source);
    [[nodiscard]] std::optional<serving::cold_policy> cold_policy() const;
    void publish_cold_change();
    [[nodiscard]] bool is_region_allowed(const peer::routed_request& request
    ) const;
    void report_unserved_parts();
    void request_config_from_peer();
    void handle_newer_config(host_id peer, routing::config_version version);
    [[nodiscard]] bool has_config(routing::config_version version) const;
    void request_newer_config(host_id peer, routing::config_version version);
    void renew_config(routing::config_version version);
    void handle_config_request(
        host_id peer,
        const peer::config_request& request,
        const std::function<void(const peer::frame&)>& reply
    );
    [[nodiscard]] peer::frame config_answer(const peer::config_request& request
    );
    void apply_packed_config(const peer::packed_config& received);
    void answer_config_requests();
    [[nodiscard]] routing::region_order region_daemons() const;
    void update_config_readers();
    void send_config_notice(bool is_current);
    void learn_era();
    void
    handle_config_notice(host_id reader, const peer::config_notice& notice);
    void update_config_current();
    void read_members();
    [[nodiscard]] duration regular_read_interval() const;
    void merge_member_rows(const std::vector<platform::row>& rows);
    void read_map(const service_id& service);
    static void log_view_change(view_change change, const std::string& scope);
    [[nodiscard]] nlohmann::json describe_views() const;
    void apply_map_row(const service_id& service, const platform::row& row);
    void apply_map_change(const keys::key_map_change& change);
    void poll_table();
    void report_stale_map(const service_id& service);
    void check_loop_delay();
    void run_periodic_tasks();
    void check_instance_liveness();
    keys::membership_view membership_view();
    keys::guardian_list guardian_candidates();
    void keep_departures(
        host_id peer,
        const peer::keep_departures_request& request,
        const std::function<void(const peer::frame&)>& reply
    );
    void note_departures_kept(
        host_id peer, const peer::keep_departures_reply& reply
    ) const;
    void handle_control_frame(
        host_id peer,
        const peer::frame& message,
        const std::function<void(const peer::frame&)>& reply
    );
    std::optional<host_id>
    owner_of(const service_id& service, keys::key_number key) const;
    std::function<void()> forward_request(
        host_id host,
        peer::routed_request&& request,
        sidecar::local_instance::response_handler done
    );
    void handle_peer_request(
        peer::peer_request_id from,
        peer::routed_request&& request,
        const service_id& caller_service
    );
    void refuse_for_memory(peer::peer_request_id from);
    [[nodiscard]] std::optional<duration> admit_to_link(
        peer::peer_request_id from,
        const peer::routed_request& request,
        const service_id& caller_service
    );
    void send_crash_reports(std::vector<upstream::crash_report>&& reports);
    void send_known_crash_reports(host_id peer);
    void record_quarantine();
    void restore_quarantine(const platform::row& row);
    [[nodiscard]] serving::reported_load reported_load() const;
    void record_key_request(
        const peer::routed_request& request, const service_id& caller_service
    );
    void start_key_management();
    bool stop_notice_passed() const;
    void finish_stop_if_done();
    edge::request_router_dependencies make_request_router_dependencies();
    peer::peer_link_events make_link_events();

    router_settings settings;
    platform::shared_table& table;
    /// Of the process. Outlives all that holds reservations, timers included.
    serving::memory_budget memory;
    net::timer_queue timers;
    host_id own_host;
    directory::member_entry own_entry;
    directory::directory known_daemons;

    /// The key map of a keyed service, as last read.
    struct cached_key_map {
        keys::versioned_map map;
        /// The last map of the earlier era, while this one has gaps.
        keys::key_map earlier;
        table_view view;
    };

    [[nodiscard]] bool
    is_map_due(const cached_key_map& followed, instant now) const;

    std::map<service_id, cached_key_map> key_maps;
    table_view members_view;
    std::shared_ptr<const routing::route_table> routes;
    /// When the restrictions in `routes` are checked against the hosts that
    /// there are; nothing if they have been.
    std::optional<instant> regions_checked_at;
    bool members_loaded{false};
    instant started;
    instant config_requested_at;
    /// Whether the adapter receives configuration changes.
    bool config_followed{false};
    /// The newest configuration that a peer is known to have applied.
    routing::config_version newest_known_config;
    bool config_request_due{false};
    std::function<void()> on_stale_config;
    routing::config_readers config_readers;
    /// As of the last decision on who reads.
    routing::region_order region{{own_host}, 0};
    bool is_config_reader{false};
    instant last_config_notice;
    /// The newest version requested because a reader announced it.
    routing::config_version requested_config;
    /// Peers that want a configuration that this daemon doesn't have yet.
    std::map<host_id, peer::config_request> waiting_for_config;
    /// The configuration last sent to a peer.
    peer::packed_config packed;

    /// Lease promises that this daemon made to others, as a guardian.
    keys::key_lease_guardian lease_guardian;
    std::unique_ptr<local_key_manager> local_keys;
    sidecar::local_instance instance;
    peer::peer_links links;
    peer::answer_sender answers;
    edge::request_router callers;

    /// Evacuated failure domains.
    routing::evacuations evacuations;
    routing::evacuation_policy evacuation_policy;
    /// Whether the table itself has told which domains are evacuated.
    bool evacuations_read{false};

    /// The drain of the instance beside this daemon, whose failure domain is
    /// evacuated.
    struct evacuation_drain {
        instant began;
        bool is_closed{false};
        /// Whether it owned keys when the drain began or later.
        bool had_keys{false};
        /// Whether the move of its last key has been logged.
        bool is_empty{false};
    };

    std::optional<evacuation_drain> drain;

    std::uint64_t last_sequence{0};
    instant last_heartbeat;
    /// What the instance said last, or `absent` if it is silent or gone.
    directory::instance_state announced_state{
        directory::instance_state::absent};
    departure_recorder recorder{timers, [this] {
                                    this->ask_peers_to_keep_departures();
                                }};
    quarantine_recorder crash_recorder{table, own_host};
    /// Whether a peer has sent the departures that earlier runs announced.
    bool peers_know_departures{false};
    /// The instance that deregistered last; its heartbeats are rejected.
    directory::instance_run deregistered_instance;
    std::map<peer::peer_request_id, serving::work_id> peer_work;

    /// The last change of the table's era; the first era if there was none.
    platform::era_change era{platform::first_era, true};
    /// Whether a read is due that shows a newer era.
    bool era_read_due{false};
    std::minstd_rand random{std::random_device{}()};

    platform::row_version entry_version;
    bool needs_entry_write{true};
    bool entry_in_flight{false};
    /// After a failed write.
    instant entry_retry_at;
    /// Limits the rate of writes.
    instant next_entry_write_at;

    /// Whether the load is to be sent since the instance became cold or warm.
    bool cold_publication_due{false};
    instant next_cold_publication;

    /// Of the event loop, since the start.
    duration longest_loop_delay{0};
    std::uint64_t long_loop_delays{0};

    std::vector<host_id> last_member_hosts;
    instant members_unchanged_since;

    bool stopping{false};
    instant stop_at;
    std::function<void()> on_stopped;
};

} // namespace apricotstile::router

#endif
