// The configuration: from the platform's store, or from peers.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// How long the store may take to deliver a configuration that a peer has,
/// before it is asked again, and before the peer is asked: a configuration is
/// large, so it should be transferred once.
constexpr duration config_renewal_delay = 300ms;
constexpr duration config_request_delay = 1200ms;

/// How long the configuration may take through the region's tree.
constexpr duration config_tree_timeout = 400ms;

/// When a daemon first decides whether it reads, after its start.
constexpr duration first_reader_decision = 1500ms;

/// Between two announcements that the instance has become cold or warm.
constexpr duration cold_publication_interval = 1s;

constexpr duration max_era_read_delay = 1s;

/// Between a configuration and the check that its restrictions leave hosts.
/// When the whole system starts, hosts become known within seconds.
constexpr duration region_check_delay = 5s;

/// Between announcements of a reader that can't read.
constexpr duration failing_notice_interval = 1s;

constexpr auto log_prefix = "router";

} // namespace

void router::implementation::apply_config(
    routing::routing_config config, const char* source
) {
    if (this->routes && config.version <= this->routes->config.version) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Configuration applied.",
        {{"version", std::to_string(config.version.value)},
         {"routes", std::to_string(config.routes.size())},
         {"services", std::to_string(config.services.size())},
         {"source", source}}
    );
    this->routes = std::make_shared<const routing::route_table>(
        routing::make_route_table(std::move(config))
    );
    this->regions_checked_at.reset();
    if (this->routes->restrictions.restricted_routes > 0) {
        this->regions_checked_at = boot_clock::now() + region_check_delay;
    }
    this->callers.set_config(this->routes);
    this->links.set_config_version(this->routes->config.version);
    this->answer_config_requests();
    this->update_config_current();
    const auto& services = this->routes->config.services;
    const auto service = services.find(this->settings.service);
    if (service != services.end()) {
        this->instance.set_max_connections(service->second.max_connections);
        this->instance.set_keyed(service->second.keyed);
    }
    this->instance.set_cold_policy(this->cold_policy());
    this->start_key_management();
}

/// The limit for the instance beside this daemon while it is cold.
std::optional<serving::cold_policy>
router::implementation::cold_policy() const {
    if (!this->routes) {
        return std::nullopt;
    }
    const auto& services = this->routes->config.services;
    const auto service = services.find(this->settings.service);
    if (service == services.end()) {
        return std::nullopt;
    }
    return serving::make_cold_policy(
        this->settings.cold_bounds,
        service->second.cold_per_second,
        service->second.cold_start_time
    );
}

/// Sends the load to all peers after the instance became cold or warm, at a
/// limited rate.
void router::implementation::publish_cold_change() {
    if (this->cold_publication_due) {
        return;
    }
    this->cold_publication_due = true;
    const instant now = boot_clock::now();
    this->next_cold_publication = std::max(now, this->next_cold_publication);
    this->timers.at(this->next_cold_publication, [this] {
        this->cold_publication_due = false;
        this->next_cold_publication += cold_publication_interval;
        this->links.publish_entry({this->own_entry, this->reported_load()});
    });
}

/// Whether this daemon's configuration allows its region for a request to the
/// instance beside it. A route that it doesn't have may be newer; its sender's
/// configuration has been applied then.
bool router::implementation::is_region_allowed(
    const peer::routed_request& request
) const {
    return !this->routes || routing::may_serve(
                                this->routes->restrictions,
                                {request.route_hash,
                                 this->settings.service,
                                 request.key.has_value()},
                                this->own_entry.where.region
                            );
}

/// Warns once of each part of a configuration whose restrictions leave it no
/// host. Delayed until the members are known.
void router::implementation::report_unserved_parts() {
    if (!this->regions_checked_at || !this->members_loaded ||
        boot_clock::now() < *this->regions_checked_at) {
        return;
    }
    this->regions_checked_at.reset();
    std::map<service_id, std::set<region_id>> service_regions;
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        service_regions[entry.service].insert(entry.where.region);
    }
    const routing::unserved_parts unserved =
        routing::find_unserved_parts(this->routes->config, service_regions);
    const std::string version =
        std::to_string(this->routes->config.version.value);
    for (const auto& [route, service] : unserved.routes) {
        log::write(
            log::level::warning,
            log_prefix,
            "No host is in a region that the route allows; its requests are "
            "rejected.",
            {{"route", route}, {"service", service.value}, {"version", version}}
        );
    }
    for (const service_id& service : unserved.services) {
        log::write(
            log::level::warning,
            log_prefix,
            "No host is in a region that all restricted routes to the service "
            "allow; its keys don't move there.",
            {{"service", service.value}, {"version", version}}
        );
    }
}

/// A daemon that starts while the store is unavailable gets its configuration
/// from a peer. The store's is applied as soon as it answers.
void router::implementation::request_config_from_peer() {
    const instant now = boot_clock::now();
    if (this->routes || now - this->started < store_wait_timeout ||
        now - this->config_requested_at < store_wait_timeout) {
        return;
    }
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        if (peer != this->own_host && this->links.is_reachable(peer)) {
            this->config_requested_at = now;
            this->links.send_message(peer, peer::config_request{{}, true});
            return;
        }
    }
}

/// A route that isn't known may be in a newer configuration.
void router::implementation::update_config_current() {
    const routing::config_version own =
        this->routes ? this->routes->config.version : routing::config_version{};
    this->callers.set_config_current(
        own >= this->newest_known_config &&
        (this->config_followed ||
         routing::is_config_current(
             this->config_readers, own, boot_clock::now()
         ))
    );
}

/// A request or response of a peer shows that it has a newer configuration.
/// Usually its announcement or the store's change arrives right after.
void router::implementation::handle_newer_config(
    host_id peer, routing::config_version version
) {
    if (version > this->newest_known_config) {
        this->newest_known_config = version;
        this->update_config_current();
    }
    if (this->config_request_due) {
        return;
    }
    this->config_request_due = true;
    const bool asks_store_first = this->is_config_reader;
    this->timers.after(
        config_renewal_delay,
        [this, peer, version, asks_store_first] {
            if (asks_store_first) {
                this->renew_config(version);
            } else {
                this->request_newer_config(peer, version);
            }
        }
    );
    this->timers.after(
        config_request_delay,
        [this, peer, version, asks_store_first] {
            this->config_request_due = false;
            if (asks_store_first) {
                this->request_newer_config(peer, version);
            } else {
                this->renew_config(version);
            }
        }
    );
}

/// Asks the store for a configuration that a peer has.
void router::implementation::renew_config(routing::config_version version) {
    if (!this->has_config(version) && this->on_stale_config) {
        this->on_stale_config();
    }
}

bool router::implementation::has_config(routing::config_version version) const {
    return this->routes && this->routes->config.version >= version;
}

void router::implementation::request_newer_config(
    host_id peer, routing::config_version version
) {
    if (this->has_config(version)) {
        return;
    }
    log::write(
        log::level::warning,
        log_prefix,
        "Requesting a peer's newer configuration.",
        {{"peer", peer::format_for_log(peer)},
         {"version", std::to_string(version.value)}}
    );
    this->links.send_message(peer, peer::config_request{version, true});
}

/// Sends the configuration to a peer, now or once this daemon has it.
void router::implementation::handle_config_request(
    host_id peer,
    const peer::config_request& request,
    const std::function<void(const peer::frame&)>& reply
) {
    if (this->routes && this->has_config(request.at_least)) {
        reply(this->config_answer(request));
    } else if (request.at_least != routing::config_version{}) {
        this->waiting_for_config[peer] = request;
    }
}

/// This daemon's configuration for a peer. It is packed once for all peers.
peer::frame
router::implementation::config_answer(const peer::config_request& request) {
    if (!request.accepts_packed) {
        return peer::config_reply{this->routes->config};
    }
    const routing::routing_config& config = this->routes->config;
    if (this->packed.version != config.version) {
        this->packed = peer::pack_config(config);
    }
    return this->packed;
}

/// Applies a peer's configuration. It may have come from another peer, or from
/// the store, before.
void router::implementation::apply_packed_config(
    const peer::packed_config& received
) {
    if (!this->has_config(received.version)) {
        this->apply_config(peer::unpack_config(received), "peer");
    }
}

void router::implementation::answer_config_requests() {
    for (auto one = this->waiting_for_config.begin();
         one != this->waiting_for_config.end();) {
        if (!this->has_config(one->second.at_least)) {
            ++one;
            continue;
        }
        this->links.send_message(one->first, this->config_answer(one->second));
        one = this->waiting_for_config.erase(one);
    }
}

/// The daemons of this region that this one can reach, with itself.
routing::region_order router::implementation::region_daemons() const {
    std::vector<host_id> daemons{this->own_host};
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        if (peer != this->own_host && !entry.stopping &&
            entry.where.region == this->own_entry.where.region &&
            this->links.is_reachable(peer)) {
            daemons.push_back(peer);
        }
    }
    return routing::make_region_order(std::move(daemons), this->own_host);
}

/// Decides again whether this daemon reads the configuration from the store.
void router::implementation::update_config_readers() {
    const instant now = boot_clock::now();
    // Before, this daemon may not know its peers.
    if (now - this->started < first_reader_decision) {
        return;
    }
    this->region = this->region_daemons();
    const bool reads =
        routing::reads_config(this->config_readers, this->region, now);
    if (reads != this->is_config_reader) {
        this->is_config_reader = reads;
        log::write(
            log::level::info,
            log_prefix,
            reads ? "Reading configurations from the store."
                  : "Leaving reads of configurations to other daemons.",
            {{"rank", std::to_string(this->region.own_rank)},
             {"daemons", std::to_string(this->region.daemons.size())}}
        );
        if (reads && this->on_stale_config) {
            this->on_stale_config();
        }
    }
    if (reads && !this->config_followed &&
        now - this->last_config_notice >= failing_notice_interval) {
        this->send_config_notice(false);
    }
    this->update_config_current();
}

/// Tells the region what this daemon has read.
void router::implementation::send_config_notice(bool is_current) {
    if (!this->is_config_reader || !this->routes) {
        return;
    }
    this->last_config_notice = boot_clock::now();
    const peer::config_notice notice{
        this->routes->config.version, is_current, this->era.era};
    for (const host_id peer : this->region.daemons) {
        if (peer != this->own_host) {
            this->links.send_message(peer, notice);
        }
    }
    this->send_evacuation_notice();
}

/// A peer has seen a newer era of the table. This daemon's next call shows it;
/// at a random moment, so that not all daemons call at once.
void router::implementation::learn_era() {
    if (this->era_read_due) {
        return;
    }
    this->era_read_due = true;
    this->timers.after(
        std::uniform_int_distribution<duration::rep>{
            0, max_era_read_delay.count()}(this->random) *
            duration{1},
        [this] {
            this->era_read_due = false;
            this->read_members();
        }
    );
}

/// A reader has announced its version. The configuration comes from the daemon
/// before this one in the region's tree, or else from the reader, or else from
/// the store.
void router::implementation::handle_config_notice(
    host_id reader, const peer::config_notice& notice
) {
    routing::note_announcement(
        this->config_readers,
        reader,
        {notice.is_current, notice.version, boot_clock::now()}
    );
    this->newest_known_config =
        std::max(this->newest_known_config, notice.version);
    this->update_config_current();
    if (notice.era > this->era.era) {
        this->learn_era();
    }
    const auto source =
        routing::config_source(this->config_readers.policy, this->region);
    if (!source || this->has_config(notice.version) ||
        notice.version <= this->requested_config) {
        return;
    }
    this->requested_config = notice.version;
    this->links.send_message(
        *source, peer::config_request{notice.version, true}
    );
    this->timers.after(
        config_tree_timeout,
        [this, reader, version = notice.version] {
            this->request_newer_config(reader, version);
        }
    );
    this->timers.after(config_request_delay, [this, version = notice.version] {
        this->renew_config(version);
    });
}

void router::apply_config(routing::routing_config config) {
    this->impl->apply_config(std::move(config), "table");
}

void router::set_config_followed(bool current) {
    this->impl->config_followed = current;
    this->impl->update_config_current();
}

void router::set_stale_config_handler(std::function<void()> on_stale_config) {
    this->impl->on_stale_config = std::move(on_stale_config);
}

void router::note_config_confirmed() {
    this->impl->send_config_notice(true);
}

config_reader_position router::reader_position() const {
    const implementation& daemon = *this->impl;
    std::set<region_id> regions;
    for (const auto& [peer, entry] : daemon.known_daemons.entries) {
        regions.insert(entry.where.region);
    }
    const std::size_t own_region = static_cast<std::size_t>(std::distance(
        regions.begin(), regions.find(daemon.own_entry.where.region)
    ));
    const std::size_t readers = daemon.config_readers.policy.readers;
    const std::size_t own_rank = std::min(daemon.region.own_rank, readers - 1);
    return {
        daemon.is_config_reader,
        own_rank * regions.size() + own_region,
        readers * regions.size()};
}

} // namespace apricotstile::router
