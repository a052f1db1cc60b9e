// Forwards requests between the request router, peers and the local instance,
// and handles peers' control frames.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/core/unix_time.hpp>
#include <apricotstile/log/logger.hpp>

namespace apricotstile::router {

namespace {

constexpr auto log_prefix = "router";

/// After a refusal for lack of memory, which a slow instance or slow callers
/// take seconds to return.
constexpr duration memory_retry_after = std::chrono::seconds{1};

} // namespace

edge::request_router_dependencies
router::implementation::make_request_router_dependencies() {
    edge::request_router_dependencies result;
    result.self = host_at(this->settings.peer_address);
    result.where = this->settings.where;
    result.names = this->settings.names;
    result.memory = &this->memory;
    result.max_connections = this->settings.max_caller_connections;
    result.eviction = this->settings.eviction;
    result.retry_budget = this->settings.retry_budget;
    result.leaving_grace = this->settings.drain_timeout - drain_margin;
    result.known = &this->known_daemons;
    result.owner_of = [this](const service_id& service, keys::key_number key) {
        return this->owner_of(service, key);
    };
    result.report_stale_map = [this](const service_id& service) {
        this->report_stale_map(service);
    };
    result.is_reachable = [this](host_id peer) {
        return peer == this->own_host || this->links.is_reachable(peer);
    };
    result.is_evacuated = [this](const location& where) {
        return this->is_evacuated(where);
    };
    result.may_serve_keys = [this](const location& where) {
        return this->may_serve_keys(where);
    };
    result.quarantine_left = [this](const http::received_request& request) {
        return this->instance.quarantine_left(request, this->settings.service);
    };
    result.forward_request =
        [this](
            host_id peer,
            peer::routed_request&& request,
            edge::request_router_dependencies::response_handler done
        ) {
            return this->forward_request(
                peer, std::move(request), std::move(done)
            );
        };
    return result;
}

peer::peer_link_events router::implementation::make_link_events() {
    peer::peer_link_events result;
    result.on_request = [this](
                            peer::peer_request_id from,
                            peer::routed_request&& request,
                            const service_id& caller_service
                        ) {
        this->handle_peer_request(from, std::move(request), caller_service);
    };
    result.on_memory_refused = [this](peer::peer_request_id from) {
        this->refuse_for_memory(from);
    };
    result.on_cancel = [this](peer::peer_request_id from) {
        const auto found = this->peer_work.find(from);
        if (found != this->peer_work.end()) {
            const serving::work_id work = found->second;
            this->peer_work.erase(found);
            this->instance.withdraw(work);
        }
        this->answers.cancel(from);
    };
    result.on_entry = [this](host_id, const peer::entry_frame& received) {
        this->callers.update_load(received.member.host, received.load);
        this->merge_entry(received.member, "link");
    };
    result.on_link_ready = [this](host_id peer) {
        this->send_known_crash_reports(peer);
        if (const auto evacuated = this->make_evacuation_notice()) {
            this->links.send_message(peer, *evacuated);
        }
    };
    result.on_control = [this](
                            host_id peer,
                            const peer::frame& message,
                            const std::function<void(const peer::frame&)>& reply
                        ) {
        this->handle_control_frame(peer, message, reply);
    };
    result.on_unresponsive = [this](host_id peer) {
        this->callers.handle_unresponsive_peer(peer);
    };
    result.on_newer_config =
        [this](host_id peer, routing::config_version version) {
            this->handle_newer_config(peer, version);
        };
    result.on_load = [this](host_id peer, const serving::reported_load& load) {
        this->callers.update_load(peer, load);
    };
    return result;
}

/// Handles requests to this daemon as a guardian, peers' announcements and
/// replies to its own requests.
void router::implementation::handle_control_frame(
    host_id peer,
    const peer::frame& message,
    const std::function<void(const peer::frame&)>& reply
) {
    const instant now = boot_clock::now();
    if (const auto* const asked =
            std::get_if<peer::promise_request>(&message)) {
        const keys::promise_result result = keys::promise(
            this->lease_guardian,
            peer,
            asked->version,
            asked->guardian_incarnation,
            now
        );
        reply(peer::promise_reply{
            asked->sequence, asked->guardian_incarnation, result});
    } else if (const auto* const end = std::get_if<peer::revocation_request>(&message)) {
        const bool agreed = keys::consent_to_revocation(
            this->lease_guardian, end->holder, end->version, now
        );
        reply(peer::revocation_reply{end->holder, end->version, agreed});
    } else if (const auto* const map_change = std::get_if<peer::map_change_frame>(&message)) {
        this->apply_map_change(map_change->change);
    } else if (const auto* const crash_reports = std::get_if<peer::crash_reports_frame>(&message)) {
        for (const upstream::crash_report& report : crash_reports->reports) {
            this->instance.handle_crash_report(peer, report);
        }
    } else if (const auto* const wanted_config = std::get_if<peer::config_request>(&message)) {
        this->handle_config_request(peer, *wanted_config, reply);
    } else if (const auto* const notice = std::get_if<peer::config_notice>(&message)) {
        this->handle_config_notice(peer, *notice);
    } else if (const auto* const evacuated = std::get_if<peer::evacuation_notice>(&message)) {
        this->handle_evacuation_notice(peer, *evacuated);
    } else if (const auto* const config = std::get_if<peer::config_reply>(&message)) {
        this->apply_config(config->config, "peer");
    } else if (const auto* const packed_update = std::get_if<peer::packed_config>(&message)) {
        this->apply_packed_config(*packed_update);
    } else if (const auto* const earlier = std::get_if<peer::earlier_departures_frame>(&message)) {
        this->peers_know_departures = true;
        this->learn_departures(earlier->departures, "peer");
    } else if (const auto* const kept = std::get_if<peer::keep_departures_request>(&message)) {
        this->keep_departures(peer, *kept, reply);
    } else if (const auto* const confirmed = std::get_if<peer::keep_departures_reply>(&message)) {
        this->note_departures_kept(peer, *confirmed);
    } else if (const auto* const wanted_capacity = std::get_if<peer::capacity_request>(&message)) {
        reply(
            this->local_keys
                ? this->local_keys->reserve_capacity(peer, *wanted_capacity)
                : peer::capacity_reply{wanted_capacity->sequence}
        );
    } else if (const auto* const release = std::get_if<peer::release_request>(&message)) {
        if (this->local_keys) {
            this->local_keys->handle_release_request(peer, release->release);
        } else {
            reply(peer::release_reply{
                release->release.sequence,
                platform::commit_status::unavailable,
                std::nullopt});
        }
    } else if (const auto* const claim = std::get_if<peer::capacity_claim>(&message)) {
        if (this->local_keys) {
            this->local_keys->handle_capacity_claim(peer, *claim);
        }
    } else if (this->local_keys) {
        this->local_keys->handle_reply(peer, message);
    }
}

/// Keeps the departures that a peer's instance has announced.
void router::implementation::keep_departures(
    host_id peer,
    const peer::keep_departures_request& request,
    const std::function<void(const peer::frame&)>& reply
) {
    const auto entry = this->known_daemons.entries.find(peer);
    if (entry == this->known_daemons.entries.end()) {
        log::write(
            log::level::warning,
            log_prefix,
            "Departures not kept: the peer isn't known yet.",
            {{"peer", peer::format_for_log(peer)}}
        );
        return;
    }
    directory::add_departures(
        entry->second.known_departures, request.departures
    );
    reply(peer::keep_departures_reply{request.revision});
}

/// A peer's memory is enough for the next run of this daemon, but not for an
/// acknowledgement.
void router::implementation::note_departures_kept(
    host_id peer, const peer::keep_departures_reply& reply
) const {
    if (this->recorder.is_recorded()) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "A peer keeps the departures until they are recorded.",
        {{"peer", peer::format_for_log(peer)},
         {"revision", std::to_string(reply.revision)}}
    );
}

std::function<void()> router::implementation::forward_request(
    host_id peer,
    peer::routed_request&& request,
    sidecar::local_instance::response_handler done
) {
    if (peer != this->own_host) {
        const peer::stream_id stream =
            this->links.send(peer, request, std::move(done));
        return [this, peer, stream] {
            this->links.cancel(peer, stream);
        };
    }
    this->record_key_request(request, this->settings.service);
    // A stale directory entry may name another service for this host.
    if (request.service_hash != name_hash(this->settings.service.value)) {
        peer::routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_closed;
        done(std::move(refused));
        return nullptr;
    }
    const serving::work_id work = this->instance.submit(
        std::move(request), this->settings.service, std::move(done)
    );
    return [this, work] {
        this->instance.withdraw(work);
    };
}

/// Sends crash reports to the daemons of the same service. Those of other
/// services need the ones about suspected requests: a configuration may lead
/// the same requests to their instances.
void router::implementation::send_crash_reports(
    std::vector<upstream::crash_report>&& reports
) {
    const peer::crash_reports_frame all{std::move(reports)};
    const peer::crash_reports_frame suspects{upstream::suspects_in(
        this->instance.request_quarantine(), all.reports, boot_clock::now()
    )};
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        const bool same_service = entry.service == this->own_entry.service;
        const peer::crash_reports_frame& message =
            same_service ? all : suspects;
        if (peer != this->own_host && !message.reports.empty()) {
            this->links.send_message(peer, message);
        }
    }
    this->record_quarantine();
}

/// Records refused requests, so that they are refused after a restart of all
/// daemons too.
void router::implementation::record_quarantine() {
    // Before, the version of the row isn't known.
    if (!this->members_loaded && !this->settings.is_first_start) {
        return;
    }
    const instant now = boot_clock::now();
    this->crash_recorder.update(
        upstream::records_to_keep(
            this->instance.request_quarantine(), now, unix_milliseconds()
        ),
        now
    );
}

void router::implementation::restore_quarantine(const platform::row& row) {
    this->instance.restore_quarantine(this->crash_recorder.note_row(row));
}

/// Brings a peer up to date, which may have started after the reports were sent
/// or have been unreachable then.
void router::implementation::send_known_crash_reports(host_id peer) {
    const auto found = this->known_daemons.entries.find(peer);
    if (found == this->known_daemons.entries.end()) {
        return;
    }
    const bool same_service = found->second.service == this->own_entry.service;
    const upstream::quarantine& state = this->instance.request_quarantine();
    const instant now = boot_clock::now();
    peer::crash_reports_frame message{upstream::report_all(state, now)};
    if (!same_service) {
        message.reports = upstream::suspects_in(state, message.reports, now);
    }
    if (!message.reports.empty()) {
        this->links.send_message(peer, message);
    }
}

void router::implementation::record_key_request(
    const peer::routed_request& request, const service_id& caller_service
) {
    if (request.key && this->local_keys) {
        this->local_keys->add_request_work(
            *request.key,
            this->instance.expected_service_time(request, caller_service)
        );
    }
}

/// The load that other daemons are told. Members of a keyed service are told
/// that of the instance alone, as moving keys for the link's sake would not
/// help the requests that don't use it much.
serving::reported_load router::implementation::reported_load() const {
    const serving::reported_load load = this->instance.load();
    return this->local_keys ? load : this->answers.with_link_load(load);
}

/// Returns when the request should be sent again if the host's link couldn't
/// carry its answer in time.
std::optional<duration> router::implementation::admit_to_link(
    peer::peer_request_id from,
    const peer::routed_request& request,
    const service_id& caller_service
) {
    // The instance's refusal tells the peer to look for the key's owner.
    if (request.key &&
        !(this->local_keys && this->local_keys->may_dispatch(*request.key))) {
        return std::nullopt;
    }
    const instant now = boot_clock::now();
    return this->answers.admit(
        from,
        {request.route_hash,
         this->instance.may_be_nested(request.route_hash),
         this->instance.expected_service_time(request, caller_service),
         now + request.time_to_target,
         now + request.time_to_deadline,
         std::string{http::header_value(
             request.headers, this->settings.names.request_id
         )}}
    );
}

/// Refuses a peer's request that hasn't run, as there is no memory for it.
void router::implementation::refuse_for_memory(peer::peer_request_id from) {
    peer::routed_response refused;
    refused.outcome = serving::attempt_outcome::refused_busy;
    refused.retry_after = memory_retry_after;
    this->answers.send(from, std::move(refused));
}

void router::implementation::handle_peer_request(
    peer::peer_request_id from,
    peer::routed_request&& request,
    const service_id& caller_service
) {
    const auto respond = [this, from](peer::routed_response&& response) {
        this->peer_work.erase(from);
        this->answers.send(from, std::move(response));
    };
    if (request.service_hash != name_hash(this->settings.service.value)) {
        peer::routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_closed;
        respond(std::move(refused));
        return;
    }
    if (!serving::fits(this->memory, http::memory_of(request.headers))) {
        ++this->memory.refused;
        this->refuse_for_memory(from);
        return;
    }
    this->record_key_request(request, caller_service);
    if (const auto retry_after =
            this->admit_to_link(from, request, caller_service)) {
        peer::routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_busy;
        refused.retry_after = *retry_after;
        respond(std::move(refused));
        return;
    }
    this->peer_work[from] = serving::work_id{};
    const serving::work_id work =
        this->instance.submit(std::move(request), caller_service, respond);
    const auto found = this->peer_work.find(from);
    if (found != this->peer_work.end()) {
        found->second = work;
    }
}

} // namespace apricotstile::router
