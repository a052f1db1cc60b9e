// Which host a request goes to, and which ones are excluded.

#include <apricotstile/edge/internal/pending_request.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>

namespace apricotstile::edge {

serving::locality_tier request_router::locality_of(const location& where
) const {
    if (where.failure_domain == this->dependencies.where.failure_domain) {
        return serving::locality_tier::failure_domain;
    }
    return where.region == this->dependencies.where.region
               ? serving::locality_tier::region
               : serving::locality_tier::other_region;
}

/// Whether the route allows the region, by the configuration that the request
/// arrived under and by the present one.
bool request_router::is_region_allowed(
    const pending_request& request, const region_id& region
) const {
    if (request.table->restrictions.restricted_routes == 0 &&
        this->table->restrictions.restricted_routes == 0) {
        return true;
    }
    const routing::restricted_request restricted{
        name_hash(request.route->name),
        request.service,
        request.key.has_value()};
    return routing::may_serve(
               request.table->restrictions, restricted, region
           ) &&
           (request.table == this->table ||
            routing::may_serve(this->table->restrictions, restricted, region));
}

std::optional<host_id> request_router::choose_host(pending_request& request) {
    request.region_excluded = false;
    if (request.key) {
        const auto owner =
            this->dependencies.owner_of(request.service, *request.key);
        const auto entry =
            this->dependencies.known->entries.find(owner.value_or(host_id{}));
        // An owner whose region isn't known is in none that a restriction
        // names.
        request.region_excluded =
            owner && !this->is_region_allowed(
                         request,
                         entry == this->dependencies.known->entries.end()
                             ? region_id{}
                             : entry->second.where.region
                     );
        const bool is_usable = owner && !request.region_excluded &&
                               this->dependencies.is_reachable(*owner) &&
                               !this->has_left(*owner) &&
                               !this->has_evacuated_owner(*owner);
        return is_usable ? owner : std::nullopt;
    }
    std::vector<serving::candidate> candidates;
    for (const directory::member_entry* const one : directory::ready_instances(
             *this->dependencies.known, request.service
         )) {
        const auto& tried_hosts = request.progress.tried_hosts;
        if (std::find(tried_hosts.begin(), tried_hosts.end(), one->host) !=
                tried_hosts.end() ||
            (one->stopping && one->host != this->dependencies.self) ||
            !this->dependencies.is_reachable(one->host) ||
            this->has_left(one->host) ||
            this->dependencies.is_evacuated(one->where)) {
            continue;
        }
        if (!this->is_region_allowed(request, one->where.region)) {
            // If instances in allowed regions have refused the request, that is
            // the reason for its rejection.
            request.region_excluded = tried_hosts.empty();
            continue;
        }
        candidates.push_back(
            {one->host, this->locality_of(one->where), &this->views[one->host]}
        );
    }
    return serving::choose_instance(
        candidates,
        this->choice_policy,
        {request.route->target_latency,
         serving::expected_answer_bytes(
             this->answer_sizes, name_hash(request.route->name)
         )},
        boot_clock::now(),
        this->random
    );
}

/// Whether the owner of a key must serve none any more, as its failure domain
/// is evacuated.
bool request_router::has_evacuated_owner(host_id owner) const {
    const auto entry = this->dependencies.known->entries.find(owner);
    return entry != this->dependencies.known->entries.end() &&
           !this->dependencies.may_serve_keys(entry->second.where);
}

/// Whether the service has instances, but all of them in evacuated failure
/// domains, so that its keys move nowhere. An evacuated instance may still be
/// announced as ready.
bool request_router::is_evacuated_everywhere(const service_id& service) const {
    bool any = false;
    for (const auto& [host, entry] : this->dependencies.known->entries) {
        if (entry.service != service ||
            entry.state == directory::instance_state::absent) {
            continue;
        }
        if (!this->dependencies.is_evacuated(entry.where)) {
            return false;
        }
        any = true;
    }
    return any;
}

void request_router::note_leaving(
    host_id host, const peer::routed_response& response
) {
    const auto entry = this->dependencies.known->entries.find(host);
    if (entry == this->dependencies.known->entries.end() ||
        !http::says_leaving(response.headers, this->dependencies.names)) {
        return;
    }
    const auto found = this->leaving_instances.find(host);
    if (found != this->leaving_instances.end() &&
        found->second.instance == entry->second.instance) {
        return;
    }
    this->leaving_instances[host] = {
        entry->second.instance,
        boot_clock::now() + this->dependencies.leaving_grace};
}

/// Whether the instance beside `host` is leaving and must get no more requests.
bool request_router::has_left(host_id host) const {
    const auto found = this->leaving_instances.find(host);
    if (found == this->leaving_instances.end() ||
        boot_clock::now() < found->second.last_request_at) {
        return false;
    }
    const auto entry = this->dependencies.known->entries.find(host);
    return entry != this->dependencies.known->entries.end() &&
           entry->second.instance == found->second.instance;
}

} // namespace apricotstile::edge
