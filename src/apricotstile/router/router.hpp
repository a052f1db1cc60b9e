// The daemon beside one upstream instance: connects callers, peers, the
// instance and the shared table on one event loop. A deployment's adapter
// supplies the configuration and the instance's heartbeats.

#ifndef APRICOTSTILE_ROUTER_ROUTER_HPP
#define APRICOTSTILE_ROUTER_ROUTER_HPP

#include <apricotstile/directory/deregistration.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/host/location.hpp>
#include <apricotstile/http/header_names.hpp>
#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/key_owner.hpp>
#include <apricotstile/platform/shared_table.hpp>
#include <apricotstile/routing/evacuations.hpp>
#include <apricotstile/routing/routing_config.hpp>
#include <apricotstile/serving/caller_eviction.hpp>
#include <apricotstile/serving/cold_limit.hpp>
#include <apricotstile/serving/windowed_retry_budget.hpp>
#include <apricotstile/sidecar/key_call_format.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace apricotstile::router {

struct router_settings {
    location where;
    /// Listens for callers' requests.
    address caller_address;
    /// Listens for other daemons' links; also identifies this host.
    address peer_address;
    /// The instance beside this daemon, and the service it belongs to.
    address instance_address;
    service_id service;
    /// Longest time that an instance may hold keys without a renewal.
    duration max_grant_duration{std::chrono::seconds{10}};
    /// Time from the request to stop until the process must have exited.
    duration stop_grace{std::chrono::seconds{6}};
    /// A draining instance gets no requests later than this after it announced
    /// that it drains.
    duration drain_timeout{std::chrono::seconds{2}};
    /// Time between two heartbeats.
    duration heartbeat_interval{std::chrono::seconds{1}};
    /// From the operator's write until an evacuated failure domain gets no more
    /// requests. Nothing: evacuations are off.
    std::optional<duration> evacuation_timeout;
    serving::windowed_retry_budget_policy retry_budget;
    /// The bound on requests to cold instances; nothing if there is none.
    std::optional<serving::cold_bounds> cold_bounds;
    http::header_names names;
    sidecar::key_call_format key_calls;
    /// Rate of the host's link. Zero if it isn't known; then large answers to
    /// peers aren't scheduled.
    double link_bytes_per_second{0};
    /// The process is ended if it uses more memory. Zero if it isn't limited.
    std::size_t memory_bytes{0};
    /// Callers' connections that are open at once.
    std::size_t max_caller_connections{std::numeric_limits<std::size_t>::max()};
    /// Which connections are closed in favour of others.
    serving::eviction_policy eviction;
    /// Whether the whole system starts for the first time, so that no earlier
    /// run of a daemon has granted any keys.
    bool is_first_start{false};
};

/// Whether a heartbeat or a deregistration was accepted, or why not.
enum class heartbeat_result : std::uint8_t {
    accepted,
    /// It is older than one that was accepted.
    stale,
    /// It can't come from the instance beside this daemon.
    other_instance
};

/// A daemon among those that read the configuration from the store.
struct config_reader_position {
    /// Whether it is one of them.
    bool reads{false};
    std::size_t rank{0};
    /// At least one.
    std::size_t readers{1};
};

class router {
public:
    /// `table` must outlive the router. Throws `std::runtime_error` if an
    /// address can't be used.
    router(const router_settings& settings, platform::shared_table& table);
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

    /// Applies a configuration unless it is no newer than the current one.
    void apply_config(routing::routing_config config);
    /// Applies what the table says of evacuated failure domains. Ignored while
    /// evacuations are off.
    void apply_evacuations(const routing::evacuation_changes& update);
    /// Sets whether configuration changes reach this daemon.
    void set_config_followed(bool current);

    /// Sets a function that is called when the store is to be asked for changes
    /// at once: a peer has had a newer configuration for a while, so that they
    /// seem not to arrive, or this daemon is to read them from now on.
    void set_stale_config_handler(std::function<void()> on_stale_config);

    heartbeat_result handle_heartbeat(
        const keys::heartbeat& heartbeat, keys::heartbeat_answer& answer
    );
    /// An instance deregisters: it drains from then on, or stops if it has
    /// announced its departure before.
    heartbeat_result
    handle_deregistration(const directory::deregistration& received);
    /// Calls `done` once, possibly before this returns: with true when the
    /// departures that the instance has announced will be known to all later
    /// runs of this daemon, whatever else ends, so that they may be
    /// acknowledged; with false if that takes too long.
    void when_departures_recorded(std::function<void(bool recorded)> done);

    /// The store has said that no change of the configuration is missing.
    void note_config_confirmed();
    /// Whether this daemon is to read the configuration, and with how many
    /// others.
    [[nodiscard]] config_reader_position reader_position() const;
    /// Whether this daemon can serve callers now.
    [[nodiscard]] bool is_ready() const;
    /// Finishes requests in progress, then calls `on_stopped` within
    /// `stop_grace`.
    void stop(std::function<void()> on_stopped);

    /// Latency histograms, in the text format that metrics scrapers read.
    [[nodiscard]] std::string latency_metrics() const;
    /// This daemon's current state.
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace apricotstile::router

#endif
