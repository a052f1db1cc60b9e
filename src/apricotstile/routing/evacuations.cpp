// Merges the set of evacuated failure domains from the table and from peers.

#include <apricotstile/routing/evacuations.hpp>

#include <algorithm>

namespace apricotstile::routing {

namespace {

using domain_map = std::map<failure_domain_id, evacuation>;

/// Adds an evacuation. That of a domain which is evacuated by the same row has
/// been seen before.
void add(
    domain_map& domains,
    const failure_domain_id& domain,
    const evacuation& added
) {
    const auto [found, is_new] = domains.try_emplace(domain, added);
    if (is_new) {
        return;
    }
    evacuation& known = found->second;
    known.seen = known.version == added.version
                     ? std::min(known.seen, added.seen)
                     : added.seen;
    known.version = added.version;
}

/// Keeps the earliest time at which an evacuation was seen.
void keep_ages(domain_map& domains, const domain_map& known) {
    for (auto& [domain, one] : domains) {
        const auto earlier = known.find(domain);
        if (earlier != known.end() && earlier->second.version == one.version) {
            one.seen = std::min(one.seen, earlier->second.seen);
        }
    }
}

evacuation_difference
replace(evacuations& state, domain_map domains, platform::row_version version) {
    evacuation_difference result;
    result.is_newer = true;
    for (const auto& [domain, one] : domains) {
        if (!state.domains.contains(domain)) {
            result.evacuated.push_back(domain);
        }
    }
    for (const auto& [domain, one] : state.domains) {
        if (!domains.contains(domain)) {
            result.withdrawn.push_back(domain);
        }
    }
    state.domains = std::move(domains);
    state.version = version;
    return result;
}

} // namespace

evacuation_difference apply_changes(
    evacuations& state, const evacuation_changes& update, instant now
) {
    const bool is_known = state.version.has_value();
    if ((!is_known && !update.is_complete) ||
        (is_known && update.version <= *state.version)) {
        return {};
    }
    domain_map domains = update.is_complete ? domain_map{} : state.domains;
    for (const evacuation_change& one : update.changes) {
        if (one.withdrawn) {
            domains.erase(one.domain);
        } else {
            add(domains, one.domain, {one.version, now});
        }
    }
    keep_ages(domains, state.domains);
    return replace(state, std::move(domains), update.version);
}

evacuation_difference apply_report(
    evacuations& state, const evacuation_report& received, instant now
) {
    domain_map domains;
    for (const evacuation_report::evacuated_domain& one : received.domains) {
        add(domains, one.domain, {one.version, now - one.age});
    }
    if (state.version && received.version <= *state.version) {
        keep_ages(state.domains, domains);
        return {};
    }
    keep_ages(domains, state.domains);
    return replace(state, std::move(domains), received.version);
}

std::optional<evacuation_report>
make_report(const evacuations& state, instant now) {
    if (!state.version) {
        return std::nullopt;
    }
    evacuation_report result{*state.version, {}};
    for (const auto& [domain, one] : state.domains) {
        result.domains.push_back({domain, one.version, now - one.seen});
    }
    return result;
}

bool is_evacuated(const evacuations& state, const failure_domain_id& domain) {
    return state.domains.contains(domain);
}

instant key_service_end(
    const evacuation& known,
    const evacuation_policy& policy,
    std::optional<instant> began
) {
    const duration after_seen = std::max(
        policy.timeout - policy.max_propagation - policy.margin, duration{0}
    );
    const instant latest = known.seen + after_seen;
    return began ? std::min(latest, *began + policy.max_key_service) : latest;
}

} // namespace apricotstile::routing
