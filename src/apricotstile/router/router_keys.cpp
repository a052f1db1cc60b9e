// Key maps of all keyed services, the lookup of key owners, and the key
// management of the local service.

#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/sidecar/key_call_sender.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// Minimum time between two reads of a map that are caused by missing changes.
constexpr duration missing_change_read_interval = 500ms;

/// Minimum time between two reads of a map that are caused by requests which
/// an owner refused.
constexpr duration refusal_read_interval = 4s;

/// How long to wait for missing map changes, which may arrive out of order,
/// before the map is read.
constexpr duration missing_change_timeout = 300ms;

/// Daemons report the failure ratio of their instance in thousandths.
constexpr double failure_ratio_unit = 0.001;

constexpr auto log_prefix = "router";

} // namespace

/// Starts to manage keys if the local service is keyed.
void router::implementation::start_key_management() {
    const auto service =
        this->routes->config.services.find(this->settings.service);
    const bool keyed =
        service != this->routes->config.services.end() && service->second.keyed;
    if (!keyed || this->local_keys) {
        return;
    }
    keys::key_owner_policy policy;
    policy.max_grant_duration =
        std::min(policy.max_grant_duration, this->settings.max_grant_duration);
    policy.method = service->second.grants;
    keys::key_owner key_owner = keys::make_key_owner(
        policy, this->own_host, this->own_entry.run, this->settings.service
    );
    // Grants of an earlier run of this daemon may still be valid: the run may
    // have granted keys right before it ended.
    key_owner.grants_expire_at =
        boot_clock::now() + keys::max_promise_duration(policy.lease);
    key_owner.earlier_grants_expire_at = key_owner.grants_expire_at;
    if (this->era.era != platform::first_era) {
        keys::begin_era(
            key_owner, this->era.era, this->is_first_start(), boot_clock::now()
        );
    } else if (this->settings.is_first_start) {
        // There are no rows yet; if there are, conflicts will show them.
        keys::apply_rows(key_owner, {}, boot_clock::now());
    }
    // The instance's heartbeat may have arrived before the configuration.
    if (this->announced_state == directory::instance_state::ready) {
        key_owner.instance = this->own_entry.instance;
    }
    this->local_keys = std::make_unique<local_key_manager>(
        std::move(key_owner),
        this->table,
        this->timers,
        local_key_manager::dependency_functions{
            [this] {
                return this->membership_view();
            },
            [this] {
                const serving::reported_load load = this->instance.load();
                const bool is_cold = this->instance.is_cold();
                // What waits for the limit of a cold instance shows no lack of
                // capacity.
                return keys::instance_load{
                    this->instance.warm_slots(),
                    0,
                    static_cast<double>(
                        is_cold ? load.running : load.running + load.waiting
                    ),
                    load.mean_service_time,
                    is_cold};
            },
            [this] {
                return this->guardian_candidates();
            },
            [this](host_id peer) {
                const auto found = this->known_daemons.entries.find(peer);
                return found != this->known_daemons.entries.end() &&
                       found->second.service == this->own_entry.service &&
                       this->links.is_reachable(peer);
            },
            [this](host_id peer, const peer::frame& message) {
                this->links.send_message(peer, message);
            },
            [this](const peer::frame& message) {
                this->links.broadcast(message);
            },
            [this] {
                this->links.publish_entry(
                    {this->own_entry, this->reported_load()}
                );
            },
            [this](host_id holder, platform::row_version version) {
                return keys::consent_to_revocation(
                    this->lease_guardian, holder, version, boot_clock::now()
                );
            }},
        policy.method == routing::grant_method::call
            ? std::make_unique<sidecar::key_call_sender>(
                  this->settings.instance_address,
                  this->timers,
                  this->settings.key_calls,
                  policy.call_timeout
              )
            : nullptr
    );
    if (this->settings.evacuation_timeout) {
        keys::takeover_policy takeover;
        takeover.moves_whole_ranges = true;
        this->local_keys->set_takeover_policy(takeover);
    }
}

keys::membership_view router::implementation::membership_view() {
    keys::membership_view view;
    const bool has_cold_limit = this->cold_policy().has_value();
    std::vector<host_id> hosts;
    for (const directory::member_entry* const one : directory::ready_instances(
             this->known_daemons, this->settings.service
         )) {
        const bool is_usable =
            (one->host == this->own_host ||
             (!one->stopping && this->links.is_reachable(one->host))) &&
            !this->is_evacuated(one->where);
        if (!is_usable) {
            continue;
        }
        keys::key_member member{one->host, one->instance};
        if (one->host == this->own_host) {
            member.requests_per_slot = this->instance.requests_per_slot();
            member.limited = this->instance.is_limited();
            const serving::reported_load load = this->instance.load();
            member.mean_service_time = load.mean_service_time;
            member.cold = this->instance.is_cold();
            member.failure_ratio =
                load.failures_per_thousand * failure_ratio_unit;
        } else if (const auto* const seen = this->callers.instance_view_of(one->host)) {
            const serving::reported_load& load = seen->load;
            member.requests_per_slot =
                static_cast<double>(load.running + load.waiting) /
                std::max<std::uint32_t>(load.slots, 1);
            member.limited =
                seen->load_reported_at != instant{} && load.slots < one->slots;
            member.cold = has_cold_limit && member.limited;
            member.mean_service_time = load.mean_service_time;
            member.failure_ratio =
                serving::failure_ratio_now(*seen, boot_clock::now());
        }
        member.may_own = !this->routes || routing::may_own_keys(
                                              this->routes->restrictions,
                                              this->settings.service,
                                              one->where.region
                                          );
        view.rank += one->host < this->own_host ? 1 : 0;
        view.members.push_back(member);
        hosts.push_back(one->host);
    }
    if (hosts != this->last_member_hosts) {
        this->last_member_hosts = hosts;
        this->members_unchanged_since = boot_clock::now();
    }
    view.members_unchanged_since = this->members_unchanged_since;
    return view;
}

/// Daemons that can act as guardians of this daemon's lease, in order of
/// preference: those of other services first, since the hosts of one service
/// are often replaced together, and among these the ones in this region.
keys::guardian_list router::implementation::guardian_candidates() {
    constexpr int same_service_rank = 2;
    constexpr int other_region_rank = 1;
    std::vector<std::pair<int, keys::guardian_id>> ranked;
    for (const auto& [peer, entry] : this->known_daemons.entries) {
        if (peer == this->own_host || entry.stopping ||
            !this->links.is_reachable(peer)) {
            continue;
        }
        const int rank =
            (entry.service == this->own_entry.service ? same_service_rank : 0) +
            (entry.where.region == this->own_entry.where.region
                 ? 0
                 : other_region_rank);
        ranked.emplace_back(rank, keys::guardian_id{peer, entry.run});
    }
    std::sort(ranked.begin(), ranked.end());
    keys::guardian_list result;
    for (const auto& [rank, peer] : ranked) {
        result.push_back(peer);
    }
    return result;
}

std::optional<host_id> router::implementation::owner_of(
    const service_id& service, keys::key_number key
) const {
    const keys::key_map* map = nullptr;
    const keys::key_map* earlier = nullptr;
    if (this->local_keys && service == this->settings.service) {
        map = &this->local_keys->owner_state().map;
        earlier = &this->local_keys->owner_state().earlier_map;
    } else if (const auto found = this->key_maps.find(service);
               found != this->key_maps.end()) {
        map = &found->second.map.map;
        earlier = &found->second.earlier;
    }
    if (map == nullptr) {
        return std::nullopt;
    }
    const keys::owned_range* owner = keys::find_owned_range(*map, key);
    // In a new era the owner may not have claimed the key yet.
    if (owner == nullptr) {
        owner = keys::find_owned_range(*earlier, key);
    }
    return owner == nullptr ? std::nullopt : std::optional{owner->owner};
}

void router::implementation::read_map(const service_id& service) {
    const instant requested_at = boot_clock::now();
    note_request(this->key_maps[service].view, requested_at);
    const std::string scope = "keys/" + service.value;
    this->table.read(
        scope,
        [this, service, scope, requested_at](const platform::read_result& read
        ) {
            log_view_change(
                note_result(
                    this->key_maps[service].view, read.answered, requested_at
                ),
                scope
            );
            for (const platform::row& row : read.rows) {
                this->apply_map_row(service, row);
            }
        }
    );
}

void router::implementation::apply_map_row(
    const service_id& service, const platform::row& row
) {
    keys::versioned_map& known = this->key_maps[service].map;
    if (row.version <= known.version) {
        return;
    }
    try {
        known.map = keys::decode_map(row.value);
        known.version = row.version;
        keys::apply_buffered_changes(known);
    } catch (const decode_error& error) {
        log::write(
            log::level::error,
            log_prefix,
            "Ignoring a malformed key map.",
            {{"service", service.value}, {"reason", error.what()}}
        );
    }
}

void router::implementation::apply_map_change(const keys::key_map_change& change
) {
    if (this->local_keys && change.service == this->settings.service) {
        this->local_keys->apply_map_change(change);
        return;
    }
    cached_key_map& followed = this->key_maps[change.service];
    const keys::change_result result = keys::apply_change(followed.map, change);
    if (result == keys::change_result::gap) {
        this->timers.after(
            missing_change_timeout,
            [this, service = change.service, needed = change.from_version] {
                const cached_key_map& stored = this->key_maps[service];
                if (stored.map.version < needed &&
                    boot_clock::now() - stored.view.requested_at >
                        missing_change_read_interval) {
                    this->read_map(service);
                }
            }
        );
    }
}

/// Reads the map again after the owner that it names has refused a request, as
/// the map may be stale. Reads are rate-limited for each service.
void router::implementation::report_stale_map(const service_id& service) {
    const bool is_own =
        this->local_keys != nullptr && service == this->settings.service;
    if (!is_own &&
        boot_clock::now() - this->key_maps[service].view.requested_at >
            refusal_read_interval) {
        this->read_map(service);
    }
}

} // namespace apricotstile::router
