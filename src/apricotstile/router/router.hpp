// The daemon beside one upstream instance: joins callers, peers, the instance
// and the shared table on one event loop. A deployment's adapter gives it the
// configuration and the instance's heartbeats.

#ifndef APRICOTSTILE_ROUTER_ROUTER_HPP
#define APRICOTSTILE_ROUTER_ROUTER_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/host/location.hpp>
#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/keeper.hpp>
#include <apricotstile/platform/shared_table.hpp>
#include <apricotstile/router/wire_names.hpp>
#include <apricotstile/routing/routing_config.hpp>
#include <apricotstile/serving/retry_budget.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace apricotstile::router {

struct router_settings {
    location where;
    /// Callers' requests come here.
    address callers;
    /// Other daemons' links come here; also names this host.
    address peers;
    /// The instance beside this daemon, and the service it belongs to.
    address instance;
    service_id service;
    /// Longest time that an instance may hold keys without a renewal.
    duration longest_hold{std::chrono::seconds{10}};
    /// Time from the order to stop until the process must have ended.
    duration stop_grace{std::chrono::seconds{6}};
    /// A leaving instance gets no request later than this after its word.
    duration drain_timeout{std::chrono::seconds{2}};
    /// Time between two heartbeats.
    duration heartbeat_interval{std::chrono::seconds{1}};
    serving::retry_budget_policy retries;
    wire_names names;
};

/// Why a heartbeat wasn't taken.
enum class heartbeat_verdict : std::uint8_t {
    taken,
    /// It is older than one that was taken.
    late,
    /// It is of an instance that isn't the one beside this daemon.
    foreign
};

class router {
public:
    /// `table` outlives the router. Throws `std::runtime_error` when an
    /// address can't be used.
    router(const router_settings& settings, platform::shared_table& table);
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

    /// Puts a configuration in force unless a newer one is.
    void take_config(routing::routing_config config);
    /// Whether changes of the configuration reach this daemon.
    void set_config_current(bool current);

    heartbeat_verdict
    take_heartbeat(const keys::heartbeat& beat, keys::heartbeat_answer& answer);
    /// An instance says that it ends. `born_ms` is zero where it doesn't say.
    heartbeat_verdict
    take_departure(const std::string& instance, std::int64_t born_ms);

    /// Whether this daemon can serve callers now.
    [[nodiscard]] bool is_ready() const;
    /// Finishes what is in progress, then calls `stopped` within the grace.
    void stop(std::function<void()> on_stopped);

    /// Histograms of latencies, in the text format that scrapers read.
    [[nodiscard]] std::string latency_text() const;
    /// What this daemon believes now.
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct parts;
    std::unique_ptr<parts> self;
};

} // namespace apricotstile::router

#endif
