// Load balancing and outlier ejection.

#include <apricotstile/upstream/load_balancer.hpp>

#include <apricotstile/upstream/internal/instance_score.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

constexpr double success_smoothing_factor = 0.1;
constexpr int latency_smoothing_divisor = 8;
constexpr int bytes_smoothing_divisor = 16;
/// Success rate that an instance starts with when it returns from ejection.
constexpr double success_rate_after_ejection = 0.75;
constexpr std::uint32_t max_ejection_multiplier = 6;

locality_tier locality_of(const location& self, const location& other) {
    if (self == other) {
        return locality_tier::failure_domain;
    }
    return self.region == other.region ? locality_tier::region
                                       : locality_tier::other_region;
}

instance* find_instance(service_instances& service, host_id host) {
    const auto found = std::find_if(
        service.instances.begin(),
        service.instances.end(),
        [&](const instance& one) {
            return one.host == host;
        }
    );
    return found == service.instances.end() ? nullptr : &*found;
}

/// Index range of the instances considered in one pass, and the share of their
/// slots that may be in use.
struct candidate_range {
    std::size_t begin{0};
    std::size_t end{0};
    double slot_share{1};
};

bool can_take_request(
    load_balancer& state,
    const service_instances& service,
    const candidate_range& range,
    const instance& one,
    instant now
) {
    if (!internal::is_eligible(state.policy, one, range.slot_share, now)) {
        return false;
    }
    const bool crosses_regions = one.locality == locality_tier::other_region;
    if (!crosses_regions || state.policy.faults.ignores_link_budget) {
        return true;
    }
    return has_budget(state.links[one.where.region], service.mean_bytes, now);
}

std::optional<std::size_t> better_instance(
    const load_balancer& state,
    const service_instances& service,
    std::optional<std::size_t> left,
    std::size_t right,
    instant now
) {
    if (!left) {
        return right;
    }
    const instance& one = service.instances.at(*left);
    const instance& other = service.instances.at(right);
    const double first = internal::score(state.policy, one, now);
    const double second = internal::score(state.policy, other, now);
    return second < first ? right : *left;
}

/// Returns the better of two random eligible instances. If random attempts find
/// none, returns the first eligible one, scanning from a random offset.
std::optional<std::size_t> choose_in_range(
    load_balancer& state,
    const service_instances& service,
    const candidate_range& range,
    host_id avoid,
    random_source& random,
    instant now
) {
    const std::size_t count = range.end - range.begin;
    if (count == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    int found = 0;
    const auto consider = [&](std::size_t index) {
        const instance& one = service.instances.at(index);
        if (index == best || one.host == avoid ||
            !can_take_request(state, service, range, one, now)) {
            return;
        }
        best = better_instance(state, service, best, index, now);
        ++found;
    };
    constexpr int random_attempts = 4;
    for (int i = 0; i < random_attempts && found < 2; ++i) {
        consider(range.begin + random_below(random, count));
    }
    const std::size_t offset = random_below(random, count);
    for (std::size_t i = 0; i < count && found == 0; ++i) {
        consider(range.begin + (offset + i) % count);
    }
    return best;
}

std::size_t
count_within(const service_instances& service, locality_tier locality) {
    const auto end = std::find_if(
        service.instances.begin(),
        service.instances.end(),
        [&](const instance& one) {
            return one.locality > locality;
        }
    );
    return static_cast<std::size_t>(end - service.instances.begin());
}

std::vector<candidate_range>
candidate_ranges(const load_balancer& state, const service_instances& service) {
    const std::size_t instance_count = service.instances.size();
    if (state.policy.faults.ignores_regions) {
        return {{0, instance_count, 1}};
    }
    const std::size_t domain_count =
        count_within(service, locality_tier::failure_domain);
    const std::size_t region_count =
        count_within(service, locality_tier::region);
    const double spillover = state.policy.spillover_share;
    return {
        {0, domain_count, spillover},
        {0, region_count, 1},
        {region_count, instance_count, spillover}};
}

void update_mean(duration& mean, duration sample) {
    if (mean == duration{0}) {
        mean = sample;
        return;
    }
    mean += (sample - mean) / latency_smoothing_divisor;
}

void eject(
    load_balancer& state, service_instances& service, instance& one, instant now
) {
    const auto max_ejected = static_cast<std::size_t>(
        state.policy.max_ejected_share *
        static_cast<double>(service.instances.size())
    );
    if (count_ejected(service, now) >= max_ejected &&
        !state.policy.faults.ejects_without_limit) {
        ++state.ejections_withheld;
        return;
    }
    one.ejections = std::min(one.ejections + 1, max_ejection_multiplier);
    one.ejected_until = now + one.ejections * state.policy.base_ejection_time;
    // It returns with a new warm-up and a reduced success rate.
    one.warm_up_start = one.ejected_until;
    one.success_rate = success_rate_after_ejection;
    one.outcome_count = 0;
    ++state.ejections;
}

void note_outcome(
    load_balancer& state,
    service_instances& service,
    instance& one,
    bool success,
    instant now
) {
    const double sample = success ? 1 : 0;
    one.success_rate += (sample - one.success_rate) * success_smoothing_factor;
    ++one.outcome_count;
    if (now < one.ejected_until ||
        one.success_rate >= state.policy.min_success_rate ||
        one.outcome_count < state.policy.min_outcomes) {
        return;
    }
    eject(state, service, one, now);
}

} // namespace

void set_instances(
    load_balancer& state,
    const service_id& service,
    const std::vector<known_instance>& known,
    instant now
) {
    service_instances& current = state.services[service];
    std::vector<instance> updated;
    updated.reserve(known.size());
    for (const known_instance& one : known) {
        const instance* const old = find_instance(current, one.host);
        instance entry = old != nullptr ? *old : instance{};
        if (old == nullptr) {
            entry.warm_up_start = now;
        }
        entry.host = one.host;
        entry.where = one.where;
        entry.locality = locality_of(state.self, one.where);
        entry.slots = std::max(1U, one.slots);
        entry.draining = one.draining;
        updated.push_back(std::move(entry));
    }
    std::stable_sort(
        updated.begin(),
        updated.end(),
        [](const instance& left, const instance& right) {
            return left.locality < right.locality;
        }
    );
    current.instances = std::move(updated);
}

load_balancer_choice pick_instance(
    load_balancer& state,
    const service_id& service,
    host_id avoid,
    random_source& random,
    instant now
) {
    const auto found = state.services.find(service);
    if (found == state.services.end() || found->second.instances.empty()) {
        return {
            {}, request::refusal::no_owner, state.policy.saturation_backoff};
    }
    service_instances& current = found->second;
    const std::vector<candidate_range> ranges =
        candidate_ranges(state, current);
    for (const host_id avoided : {avoid, host_id{}}) {
        for (const candidate_range& range : ranges) {
            const auto index =
                choose_in_range(state, current, range, avoided, random, now);
            if (index) {
                instance& one = current.instances.at(*index);
                ++one.in_flight;
                return {one.host, request::refusal::none, duration{0}};
            }
        }
    }
    return {{}, request::refusal::overloaded, state.policy.saturation_backoff};
}

void note_end(
    load_balancer& state,
    const service_id& service,
    host_id host,
    const send_end& end,
    instant now
) {
    service_instances& current = state.services[service];
    instance* const one = find_instance(current, host);
    if (one == nullptr) {
        return;
    }
    one->in_flight -= std::min(1U, one->in_flight);
    const auto bytes = static_cast<std::int64_t>(end.bytes);
    current.mean_bytes +=
        (bytes - current.mean_bytes) / bytes_smoothing_divisor;
    if (one->locality == locality_tier::other_region) {
        charge(state.links[one->where.region], end.bytes, now);
    }
    switch (end.result) {
    case send_result::answered:
        update_mean(one->mean_latency, end.latency);
        one->latency_updated_at = now;
        note_outcome(state, current, *one, true, now);
        break;
    case send_result::shed:
        one->saturated_until =
            now +
            (end.retry_after > duration{0}
                 ? std::min(end.retry_after, state.policy.saturation_backoff)
                 : state.policy.saturation_backoff);
        break;
    case send_result::failed:
        note_outcome(state, current, *one, false, now);
        break;
    case send_result::abandoned:
        break;
    }
}

void note_reported_load(
    load_balancer& state, const service_id& service, host_id host, double load
) {
    if (instance* const one = find_instance(state.services[service], host)) {
        one->reported_load = load;
    }
}

std::size_t count_ejected(const service_instances& service, instant now) {
    return static_cast<std::size_t>(std::count_if(
        service.instances.begin(),
        service.instances.end(),
        [&](const instance& one) {
            return now < one.ejected_until;
        }
    ));
}

} // namespace apricotstile::upstream
