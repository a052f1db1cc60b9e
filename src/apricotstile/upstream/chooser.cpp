// Load balancing and outlier ejection.

#include <apricotstile/upstream/chooser.hpp>

#include <apricotstile/upstream/internal/instance_score.hpp>

#include <algorithm>

namespace apricotstile::upstream {

namespace {

constexpr double outcome_weight = 0.1;
constexpr int latency_weight = 8;
constexpr int bytes_weight = 16;
/// Success rate that an instance starts with when it returns from ejection.
constexpr double success_on_return = 0.75;
constexpr std::uint32_t most_ejections_counted = 6;

nearness distance_to(const location& self, const location& other) {
    if (self == other) {
        return nearness::failure_domain;
    }
    return self.region == other.region ? nearness::region
                                       : nearness::other_region;
}

instance* find(service_instances& service, host_id host) {
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
struct candidates {
    std::size_t begin{0};
    std::size_t end{0};
    double share{1};
};

bool may_take(
    chooser& state,
    const service_instances& service,
    const candidates& among,
    const instance& one,
    instant now
) {
    if (!internal::is_eligible(state.policy, one, among.share, now)) {
        return false;
    }
    const bool crosses = one.distance == nearness::other_region;
    if (!crosses || state.policy.faults.ignores_link_budget) {
        return true;
    }
    return may_cross(state.links[one.where.region], service.mean_bytes, now);
}

std::optional<std::size_t> better_of(
    const chooser& state,
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
std::optional<std::size_t> choose_among(
    chooser& state,
    const service_instances& service,
    const candidates& among,
    host_id avoid,
    random_source& random,
    instant now
) {
    const std::size_t count = among.end - among.begin;
    if (count == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    int found = 0;
    const auto consider = [&](std::size_t index) {
        const instance& one = service.instances.at(index);
        if (index == best || one.host == avoid ||
            !may_take(state, service, among, one, now)) {
            return;
        }
        best = better_of(state, service, best, index, now);
        ++found;
    };
    constexpr int quick_looks = 4;
    for (int i = 0; i < quick_looks && found < 2; ++i) {
        consider(among.begin + random_below(random, count));
    }
    const std::size_t offset = random_below(random, count);
    for (std::size_t i = 0; i < count && found == 0; ++i) {
        consider(among.begin + (offset + i) % count);
    }
    return best;
}

std::size_t count_within(const service_instances& service, nearness distance) {
    const auto end = std::find_if(
        service.instances.begin(),
        service.instances.end(),
        [&](const instance& one) {
            return one.distance > distance;
        }
    );
    return static_cast<std::size_t>(end - service.instances.begin());
}

std::vector<candidates>
rounds(const chooser& state, const service_instances& service) {
    const std::size_t all = service.instances.size();
    if (state.policy.faults.ignores_regions) {
        return {{0, all, 1}};
    }
    const std::size_t domain = count_within(service, nearness::failure_domain);
    const std::size_t region = count_within(service, nearness::region);
    const double busy = state.policy.busy_share;
    return {{0, domain, busy}, {0, region, 1}, {region, all, busy}};
}

void move_mean(duration& mean, duration sample) {
    if (mean == duration{0}) {
        mean = sample;
        return;
    }
    mean += (sample - mean) / latency_weight;
}

void eject(
    chooser& state, service_instances& service, instance& one, instant now
) {
    const auto most = static_cast<std::size_t>(
        state.policy.most_ejected *
        static_cast<double>(service.instances.size())
    );
    if (count_ejected(service, now) >= most &&
        !state.policy.faults.ejects_without_limit) {
        ++state.ejections_withheld;
        return;
    }
    one.ejections = std::min(one.ejections + 1, most_ejections_counted);
    one.ejected_until = now + one.ejections * state.policy.ejection_time;
    // It returns with a new warm-up and a reduced success rate.
    one.warm_since = one.ejected_until;
    one.success = success_on_return;
    one.outcomes = 0;
    ++state.ejections;
}

void note_outcome(
    chooser& state,
    service_instances& service,
    instance& one,
    bool success,
    instant now
) {
    const double sample = success ? 1 : 0;
    one.success += (sample - one.success) * outcome_weight;
    ++one.outcomes;
    if (now < one.ejected_until || one.success >= state.policy.least_success ||
        one.outcomes < state.policy.least_outcomes) {
        return;
    }
    eject(state, service, one, now);
}

} // namespace

void set_instances(
    chooser& state,
    const service_id& service,
    const std::vector<known_instance>& known,
    instant now
) {
    service_instances& held = state.services[service];
    std::vector<instance> fresh;
    fresh.reserve(known.size());
    for (const known_instance& one : known) {
        const instance* const old = find(held, one.host);
        instance entry = old != nullptr ? *old : instance{};
        if (old == nullptr) {
            entry.warm_since = now;
        }
        entry.host = one.host;
        entry.where = one.where;
        entry.distance = distance_to(state.self, one.where);
        entry.slots = std::max(1U, one.slots);
        entry.draining = one.draining;
        fresh.push_back(std::move(entry));
    }
    std::stable_sort(
        fresh.begin(),
        fresh.end(),
        [](const instance& left, const instance& right) {
            return left.distance < right.distance;
        }
    );
    held.instances = std::move(fresh);
}

choice choose(
    chooser& state,
    const service_id& service,
    host_id avoid,
    random_source& random,
    instant now
) {
    const auto found = state.services.find(service);
    if (found == state.services.end() || found->second.instances.empty()) {
        return {{}, request::refusal::no_owner, state.policy.saturated_time};
    }
    service_instances& held = found->second;
    const std::vector<candidates> in_turn = rounds(state, held);
    for (const host_id avoided : {avoid, host_id{}}) {
        for (const candidates& among : in_turn) {
            const auto index =
                choose_among(state, held, among, avoided, random, now);
            if (index) {
                instance& one = held.instances.at(*index);
                ++one.in_flight;
                return {one.host, request::refusal::none, duration{0}};
            }
        }
    }
    return {{}, request::refusal::overloaded, state.policy.saturated_time};
}

void note_end(
    chooser& state,
    const service_id& service,
    host_id host,
    const send_end& end,
    instant now
) {
    service_instances& held = state.services[service];
    instance* const one = find(held, host);
    if (one == nullptr) {
        return;
    }
    one->in_flight -= std::min(1U, one->in_flight);
    const auto bytes = static_cast<std::int64_t>(end.bytes);
    held.mean_bytes += (bytes - held.mean_bytes) / bytes_weight;
    if (one->distance == nearness::other_region) {
        charge(state.links[one->where.region], end.bytes, now);
    }
    switch (end.result) {
    case send_result::answered:
        move_mean(one->mean_latency, end.latency);
        one->latency_seen = now;
        note_outcome(state, held, *one, true, now);
        break;
    case send_result::shed:
        one->saturated_until =
            now + (end.retry_after > duration{0}
                       ? std::min(end.retry_after, state.policy.saturated_time)
                       : state.policy.saturated_time);
        break;
    case send_result::failed:
        note_outcome(state, held, *one, false, now);
        break;
    case send_result::abandoned:
        break;
    }
}

void note_reported_load(
    chooser& state, const service_id& service, host_id host, double load
) {
    if (instance* const one = find(state.services[service], host)) {
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
