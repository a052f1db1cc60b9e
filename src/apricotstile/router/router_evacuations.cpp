// Evacuated failure domains: from the table or from peers, and the drain of the
// instance beside this daemon while its domain is one of them.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/log/logger.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

constexpr auto log_prefix = "router";

} // namespace

void router::implementation::apply_evacuations(
    const routing::evacuation_changes& update
) {
    if (!this->settings.evacuation_timeout) {
        return;
    }
    this->evacuations_read = this->evacuations_read || update.is_complete;
    const routing::evacuation_difference difference =
        routing::apply_changes(this->evacuations, update, boot_clock::now());
    this->handle_evacuation_difference(difference, "table");
    const bool is_change =
        !difference.evacuated.empty() || !difference.withdrawn.empty();
    if (is_change && this->is_config_reader) {
        // To all regions, as the store may refuse the readers of another one.
        this->links.broadcast(*this->make_evacuation_notice());
    }
}

void router::implementation::handle_evacuation_notice(
    host_id peer, const peer::evacuation_notice& notice
) {
    if (!this->settings.evacuation_timeout) {
        return;
    }
    const routing::evacuation_difference difference = routing::apply_report(
        this->evacuations, notice.report, boot_clock::now()
    );
    this->handle_evacuation_difference(
        difference, peer::format_for_log(peer).c_str()
    );
    const bool is_change =
        !difference.evacuated.empty() || !difference.withdrawn.empty();
    if (is_change && this->is_config_reader) {
        this->send_evacuation_notice();
    }
}

void router::implementation::handle_evacuation_difference(
    const routing::evacuation_difference& difference, const char* source
) {
    const instant now = boot_clock::now();
    for (const failure_domain_id& domain : difference.evacuated) {
        const routing::evacuation& seen = this->evacuations.domains.at(domain);
        log::write(
            log::level::warning,
            log_prefix,
            "Evacuation of a failure domain seen.",
            {{"domain", domain.value},
             {"version", std::to_string(seen.version.value)},
             {"age_ms", peer::millis_text(now - seen.seen)},
             {"source", source}}
        );
    }
    for (const failure_domain_id& domain : difference.withdrawn) {
        log::write(
            log::level::warning,
            log_prefix,
            "Evacuation of a failure domain withdrawn.",
            {{"domain", domain.value},
             {"version",
              std::to_string(this->evacuations.version
                                 .value_or(platform::row_version{})
                                 .value)},
             {"source", source}}
        );
    }
    // A later report may only show that the evacuation is older.
    this->update_evacuation();
    this->change_state(this->permitted_state(), "evacuations known");
}

std::optional<peer::evacuation_notice>
router::implementation::make_evacuation_notice() const {
    if (!this->settings.evacuation_timeout) {
        return std::nullopt;
    }
    auto report = routing::make_report(this->evacuations, boot_clock::now());
    return report ? std::optional{peer::evacuation_notice{*std::move(report)}}
                  : std::nullopt;
}

/// Tells the region what this daemon knows.
void router::implementation::send_evacuation_notice() {
    const auto notice = this->make_evacuation_notice();
    if (!notice) {
        return;
    }
    for (const host_id peer : this->region.daemons) {
        if (peer != this->own_host) {
            this->links.send_message(peer, *notice);
        }
    }
}

/// Whether this daemon knows if its failure domain is evacuated. What peers
/// know counts only if the store is away, as they may have missed a change.
bool router::implementation::knows_evacuations() const {
    return !this->settings.evacuation_timeout || this->evacuations_read ||
           (this->evacuations.version &&
            boot_clock::now() - this->started >= store_wait_timeout);
}

bool router::implementation::is_evacuated(const location& where) const {
    return routing::is_evacuated(this->evacuations, where.failure_domain);
}

/// Whether an instance may still serve its keys; the daemon beside it may close
/// it earlier.
bool router::implementation::may_serve_keys(const location& where) const {
    const auto found = this->evacuations.domains.find(where.failure_domain);
    return found == this->evacuations.domains.end() ||
           boot_clock::now() <
               routing::key_service_end(
                   found->second, this->evacuation_policy, std::nullopt
               );
}

/// When the instance beside this daemon has to be closed; nothing if its
/// failure domain isn't evacuated.
std::optional<instant> router::implementation::own_key_service_end() const {
    const auto found =
        this->evacuations.domains.find(this->own_entry.where.failure_domain);
    if (found == this->evacuations.domains.end() || !this->drain) {
        return std::nullopt;
    }
    return routing::key_service_end(
        found->second, this->evacuation_policy, this->drain->began
    );
}

/// Begins, continues or ends the drain of the instance beside this daemon.
void router::implementation::update_evacuation() {
    const bool evacuated = this->is_evacuated(this->own_entry.where);
    if (evacuated && !this->drain) {
        this->begin_evacuation();
    } else if (!evacuated && this->drain) {
        // An instance that fell silent meanwhile isn't opened.
        this->check_instance_liveness();
        this->change_state(this->permitted_state(), "evacuation ended");
        this->end_evacuation();
    }
    if (!this->drain) {
        return;
    }
    const std::uint64_t keys = this->owned_keys();
    this->drain->had_keys = this->drain->had_keys || keys > 0;
    if (this->drain->had_keys && keys == 0 && !this->drain->is_empty) {
        this->drain->is_empty = true;
        log::write(
            log::level::info,
            log_prefix,
            "Last key moved out of the evacuated failure domain.",
            {{"after_ms",
              peer::millis_text(boot_clock::now() - this->drain->began)}}
        );
    }
    if (this->drain->is_closed) {
        return;
    }
    if (keys == 0) {
        this->close_evacuated_instance("no keys");
        return;
    }
    const instant end = *this->own_key_service_end();
    if (boot_clock::now() >= end) {
        this->close_evacuated_instance("timeout");
    }
}

void router::implementation::begin_evacuation() {
    this->drain = evacuation_drain{boot_clock::now()};
    this->change_state(this->permitted_state(), "evacuation");
    if (this->local_keys) {
        this->local_keys->release_all_keys();
    }
    // The evacuation may turn out to be older later on, and a new one may have
    // begun by then.
    if (const auto end = this->own_key_service_end()) {
        this->timers.at(*end, [this] {
            this->update_evacuation();
        });
    }
}

void router::implementation::close_evacuated_instance(const char* why) {
    this->drain->is_closed = true;
    this->instance.set_open(false);
    const serving::reported_load load = this->instance.load();
    log::write(
        log::level::info,
        log_prefix,
        "Instance closed for the evacuation of its failure domain.",
        {{"instance", this->own_entry.instance.id},
         {"why", why},
         {"running", std::to_string(load.running)},
         {"keys", std::to_string(this->owned_keys())},
         {"after_ms",
          peer::millis_text(boot_clock::now() - this->drain->began)}}
    );
}

/// The failure domain isn't evacuated any more. Keys stay that haven't begun to
/// move, unless the instance or this daemon leaves.
void router::implementation::end_evacuation() {
    this->drain.reset();
    if (this->local_keys && !this->stopping &&
        this->own_entry.state == directory::instance_state::ready) {
        this->local_keys->keep_remaining_keys();
    }
}

/// The number of keys that the instance beside this daemon owns.
std::uint64_t router::implementation::owned_keys() const {
    return this->local_keys
               ? keys::owned_key_count(
                     this->local_keys->owner_state().map, this->own_host
                 )
               : 0;
}

nlohmann::json router::implementation::describe_evacuations() const {
    nlohmann::json domains = nlohmann::json::object();
    for (const auto& [domain, one] : this->evacuations.domains) {
        domains[domain.value] = {{"version", one.version.value}};
    }
    const serving::reported_load load = this->instance.load();
    return {
        {"known", this->knows_evacuations()},
        {"version",
         this->evacuations.version.value_or(platform::row_version{}).value},
        {"domains", std::move(domains)},
        {"here",
         {{"evacuated", this->is_evacuated(this->own_entry.where)},
          {"closed", this->drain && this->drain->is_closed},
          {"running", load.running},
          {"waiting", load.waiting},
          {"owned_keys", this->owned_keys()}}}};
}

void router::apply_evacuations(const routing::evacuation_changes& update) {
    this->impl->apply_evacuations(update);
}

} // namespace apricotstile::router
