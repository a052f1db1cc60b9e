// Start, configuration and stop of a daemon.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/log/logger.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr duration periodic_task_interval = 250ms;

/// Time between the request to stop and the refusal of new connections.
constexpr duration stop_notice_duration = 2500ms;

/// Part of the stop grace that is reserved for closing connections.
constexpr duration stop_margin = 500ms;

/// Requests are answered this long before connections are closed.
constexpr duration last_answers_margin = 200ms;

/// A longer delay of the event loop is logged: callers and peers notice it.
constexpr duration reported_loop_delay = 200ms;

constexpr auto log_prefix = "router";

/// Increases with each start unless the clock was set back; in that case the
/// daemon continues from the incarnation in its row of the shared table. The
/// random part distinguishes two starts in the same millisecond.
incarnation make_incarnation() {
    constexpr std::uint64_t random_part = 1024;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch()
    );
    std::random_device random;
    return {
        static_cast<std::uint64_t>(millis.count()) * random_part +
        random() % random_part};
}

} // namespace

router::implementation::implementation(
    const router_settings& settings, platform::shared_table& table
)
    : settings(settings), table(table),
      memory(
          settings.memory_bytes > 0
              ? serving::make_memory_budget(settings.memory_bytes)
              : serving::memory_budget{}
      ),
      own_host(host_at(settings.peer_address)),
      instance(
          settings.instance_address,
          this->settings.names,
          timers,
          memory,
          [this](keys::key_number key) {
              return this->local_keys && this->local_keys->may_dispatch(key);
          },
          [this](std::vector<upstream::crash_report>&& reports) {
              this->send_crash_reports(std::move(reports));
          },
          [this] {
              this->begin_drain("answer");
          }
      ),
      links(settings.peer_address, timers, memory, this->make_link_events()),
      answers(
          links,
          timers,
          settings.link_bytes_per_second,
          [this] {
              return this->reported_load();
          }
      ),
      callers(
          settings.caller_address,
          timers,
          this->make_request_router_dependencies()
      ) {
    this->started = boot_clock::now();
    this->lease_guardian.started = this->started;
    this->evacuation_policy.timeout =
        settings.evacuation_timeout.value_or(this->evacuation_policy.timeout);
    this->evacuation_policy.margin = drain_margin;
    this->evacuation_policy.max_key_service =
        std::max(settings.drain_timeout - drain_margin, duration{0});
    this->own_entry.host = this->own_host;
    this->own_entry.where = settings.where;
    this->own_entry.service = settings.service;
    this->own_entry.run = make_incarnation();
    this->lease_guardian.run = this->own_entry.run;
    this->instance.set_self({this->own_host, this->own_entry.run});
    this->instance.set_cold_handler([this] {
        this->publish_cold_change();
    });
    this->instance.set_region_check([this](const peer::routed_request& request
                                    ) {
        return this->is_region_allowed(request);
    });
    directory::merge_entry(this->known_daemons, this->own_entry);
    this->table.set_era_handler([this](const platform::era_change& change) {
        this->handle_new_era(change);
    });
    if (!this->settings.is_first_start) {
        this->read_members();
    }
    this->timers.every(periodic_task_interval, [this] {
        this->run_periodic_tasks();
    });
    this->publish_entry();
}

/// Reports how long the event loop was kept from its sockets and timers.
void router::implementation::check_loop_delay() {
    const duration delay = this->timers.take_longest_delay();
    this->longest_loop_delay = std::max(this->longest_loop_delay, delay);
    if (delay < reported_loop_delay) {
        return;
    }
    ++this->long_loop_delays;
    log::write(
        log::level::warning,
        log_prefix,
        "The event loop was blocked.",
        {{"delay_ms", peer::millis_text(delay)}}
    );
}

void router::implementation::run_periodic_tasks() {
    this->check_loop_delay();
    this->poll_table();
    this->report_unserved_parts();
    this->update_config_readers();
    this->request_config_from_peer();
    this->write_entry();
    this->record_quarantine();
    this->check_instance_liveness();
    this->change_state(this->permitted_state(), "departures known");
    this->update_evacuation();
    std::map<service_id, std::size_t> hosts;
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        ++hosts[entry.service];
        if (peer != this->own_host) {
            this->links.connect(peer);
        }
    }
    this->instance.set_host_counts(hosts);
    this->finish_stop_if_done();
}

/// Whether callers and peers have had time since the request to stop to switch
/// to other daemons.
bool router::implementation::stop_notice_passed() const {
    return this->stopping &&
           boot_clock::now() > this->stop_at - this->settings.stop_grace +
                                   stop_margin + stop_notice_duration;
}

void router::implementation::finish_stop_if_done() {
    if (!this->stopping || !this->on_stopped) {
        return;
    }
    const instant now = boot_clock::now();
    if (this->stop_notice_passed()) {
        this->callers.stop_accepting();
        // Running requests end before the process exits; new ones go to other
        // instances.
        this->instance.set_open(false);
    }
    const bool idle =
        this->callers.waiting() == 0 && this->instance.unfinished() == 0 &&
        this->answers.held() == 0 && this->links.unsent_response_bytes() == 0 &&
        this->callers.open_connections() == 0;
    if ((this->stop_notice_passed() && idle) || now >= this->stop_at) {
        const auto handler = std::move(this->on_stopped);
        this->on_stopped = nullptr;
        handler();
    }
}

/// The ages of this daemon's copies of the table's parts, in seconds.
nlohmann::json router::implementation::describe_views() const {
    const instant now = boot_clock::now();
    const auto seconds = [](duration age) {
        return std::chrono::duration<double>(age).count();
    };
    nlohmann::json result = nlohmann::json::object();
    if (const auto age = age_of(this->members_view, now)) {
        result["members_age_seconds"] = seconds(*age);
    }
    std::optional<duration> oldest_map;
    for (const auto& [service, cached] : this->key_maps) {
        const auto age = age_of(cached.view, now);
        if (age) {
            oldest_map = std::max(oldest_map.value_or(*age), *age);
        }
    }
    if (oldest_map) {
        result["key_maps_age_seconds"] = seconds(*oldest_map);
    }
    return result;
}

router::router(const router_settings& settings, platform::shared_table& table)
    : impl(std::make_unique<implementation>(settings, table)) {}

router::~router() = default;

bool router::is_ready() const {
    const implementation& daemon = *this->impl;
    const bool knows_peers =
        daemon.members_loaded || daemon.links.open_links() > 0;
    return daemon.routes && knows_peers && !daemon.stopping;
}

void router::stop(std::function<void()> on_stopped) {
    implementation& daemon = *this->impl;
    if (daemon.stopping) {
        return;
    }
    log::write(log::level::info, log_prefix, "Stopping.");
    daemon.stopping = true;
    daemon.stop_at =
        boot_clock::now() + daemon.settings.stop_grace - stop_margin;
    daemon.on_stopped = std::move(on_stopped);
    daemon.own_entry.stopping = true;
    daemon.callers.start_closing(daemon.stop_at - last_answers_margin);
    if (daemon.local_keys) {
        daemon.local_keys->release_all_keys();
    }
    daemon.publish_entry();
}

std::string router::latency_metrics() const {
    std::string result;
    for (const auto& [service, one] :
         this->impl->callers.counters().latencies) {
        result += metrics::to_text_format(
            one,
            "apricotstile_answer_seconds",
            fmt::format("service=\"{}\"", service.value)
        );
    }
    return result;
}

nlohmann::json router::describe() const {
    const implementation& daemon = *this->impl;
    const edge::request_router_counters& counted = daemon.callers.counters();
    const serving::reported_load load = daemon.instance.load();
    const upstream::quarantine& quarantine =
        daemon.instance.request_quarantine();
    const serving::cold_limit& cold = daemon.instance.cold_state();
    const instant now = boot_clock::now();
    const bool is_cold = serving::is_cold(cold, now);
    const duration cold_left =
        is_cold ? serving::cold_until(cold) - now : duration{0};
    nlohmann::json result = {
        {"ingress",
         {{"requests", counted.requests},
          {"answered", counted.answered},
          {"refused", counted.refused},
          {"failed", counted.failed},
          {"no_route", counted.no_route},
          {"left", counted.disconnected},
          {"repeats", counted.retries},
          {"unanswered", counted.unanswered},
          {"waiting", daemon.callers.waiting()},
          {"connections", daemon.callers.open_connections()},
          {"connections_refused", counted.connections_refused},
          {"connections_evicted", counted.connections_evicted}}},
        {"memory",
         {{"reserved_bytes", daemon.memory.reserved},
          {"max_reserved_bytes",
           daemon.settings.memory_bytes == 0 ? 0 : daemon.memory.limit},
          {"refused", daemon.memory.refused},
          {"connections_evicted", counted.evicted_for_memory}}},
        {"instance",
         {{"slots", load.slots},
          {"running", load.running},
          {"waiting", load.waiting},
          {"connections", daemon.instance.open_connections()},
          {"id", daemon.own_entry.instance.id},
          {"state", std::string{directory::name_of(daemon.own_entry.state)}},
          {"ready", daemon.own_entry.state == directory::instance_state::ready},
          {"limited", daemon.instance.rate_limit().has_value()},
          {"limit_per_second", daemon.instance.rate_limit().value_or(0)},
          {"stated_factor", daemon.instance.stated_factor()},
          {"cold", is_cold},
          {"cold_left_ms",
           std::chrono::ceil<std::chrono::milliseconds>(cold_left).count()},
          {"cold_limit_per_second", cold.policy ? cold.policy->per_second : 0},
          {"cold_limit_burst", cold.policy ? cold.policy->burst : 0},
          {"cold_refused", cold.rejections}}},
        {"quarantine",
         {{"crashes", quarantine.crashes},
          {"refused", quarantine.refused},
          {"requests", quarantine.crash_records.size()}}},
        {"views", daemon.describe_views()},
        {"egress", daemon.answers.describe()},
        {"links", {{"open", daemon.links.open_links()}}},
        {"event_loop",
         {{"long_delays", daemon.long_loop_delays},
          {"longest_delay_ms",
           std::chrono::ceil<std::chrono::milliseconds>(
               daemon.longest_loop_delay
           )
               .count()}}},
        {"directory", {{"members", daemon.known_daemons.entries.size()}}},
        {"config",
         {{"version", daemon.routes ? daemon.routes->config.version.value : 0},
          {"restricted_routes",
           daemon.routes ? daemon.routes->restrictions.restricted_routes
                         : 0}}}};
    if (daemon.settings.evacuation_timeout) {
        result["evacuations"] = daemon.describe_evacuations();
    }
    return result;
}

} // namespace apricotstile::router
