// Admission, completion and cancellation of work.

#include <standins/upstream/upstream_service.hpp>

#include <algorithm>
#include <random>

namespace apricotstile::standins {

namespace {

bool token_permits(
    const upstream_service& upstream,
    const service_load& load,
    const work_item& item,
    instant now
) {
    const bool keyed = load.settings.slices > 0;
    if (!keyed || !upstream.checks_tokens) {
        return true;
    }
    const token_grant wanted{item.service, item.slice, item.token};
    return permits(upstream.granted, wanted, now);
}

/// Starts the work, or refuses it by what holds at this moment.
void start_or_refuse(
    upstream_service& upstream,
    service_load& load,
    const work_item& item,
    instant now,
    random_source& random,
    work_actions& actions
) {
    if (now >= item.deadline) {
        actions.emplace_back(work_refused{
            item.id, work_refusal::deadline_passed});
        return;
    }
    if (!token_permits(upstream, load, item, now)) {
        actions.emplace_back(work_refused{item.id, work_refusal::stale_token});
        return;
    }
    const duration wanted =
        draw(upstream.times, now - upstream.started_at, random);
    const duration left = item.deadline - now;
    load.running.emplace(item.id, item);
    actions.emplace_back(work_started{
        item, std::min(wanted, left), wanted > left});
}

void fill_slots(
    upstream_service& upstream,
    service_load& load,
    instant now,
    random_source& random,
    work_actions& actions
) {
    while (!load.waiting.empty() && load.running.size() < load.settings.slots) {
        const work_item item = load.waiting.front();
        load.waiting.pop_front();
        start_or_refuse(upstream, load, item, now, random, actions);
    }
}

bool sheds(
    const upstream_service& upstream,
    const service_load& load,
    random_source& random
) {
    const bool slots_taken = load.running.size() >= load.settings.slots;
    if (slots_taken && load.waiting.size() >= load.settings.queue) {
        return true;
    }
    return upstream.shed_share > 0 &&
           std::bernoulli_distribution{upstream.shed_share}(random);
}

auto named(const std::string& request_name) {
    return [&request_name](const work_item& item) {
        return item.request_name == request_name;
    };
}

bool cancel_waiting(
    service_load& load, const std::string& request_name, work_actions& actions
) {
    const auto found = std::find_if(
        load.waiting.begin(), load.waiting.end(), named(request_name)
    );
    if (found == load.waiting.end()) {
        return false;
    }
    actions.emplace_back(work_refused{found->id, work_refusal::cancelled});
    load.waiting.erase(found);
    return true;
}

bool cancel_running(
    service_load& load, const std::string& request_name, work_actions& actions
) {
    const auto found = std::find_if(
        load.running.begin(),
        load.running.end(),
        [&](const auto& one) {
            return one.second.request_name == request_name;
        }
    );
    if (found == load.running.end()) {
        return false;
    }
    actions.emplace_back(work_stopped{found->first});
    load.running.erase(found);
    return true;
}

} // namespace

work_actions arrive(
    upstream_service& upstream,
    const work_item& item,
    instant now,
    random_source& random
) {
    work_actions actions;
    const auto found = upstream.services.find(item.service);
    if (found == upstream.services.end()) {
        actions.emplace_back(work_refused{
            item.id, work_refusal::unknown_service});
        return actions;
    }
    service_load& load = found->second;
    if (sheds(upstream, load, random)) {
        actions.emplace_back(work_refused{item.id, work_refusal::shed});
        return actions;
    }
    load.waiting.push_back(item);
    fill_slots(upstream, load, now, random, actions);
    return actions;
}

work_actions finish(
    upstream_service& upstream,
    const service_id& service,
    work_id id,
    instant now,
    random_source& random
) {
    work_actions actions;
    service_load& load = upstream.services.at(service);
    load.running.erase(id);
    fill_slots(upstream, load, now, random, actions);
    return actions;
}

work_actions cancel(
    upstream_service& upstream,
    const std::string& request_name,
    instant now,
    random_source& random
) {
    work_actions actions;
    for (auto& [service, load] : upstream.services) {
        if (cancel_waiting(load, request_name, actions)) {
            return actions;
        }
        if (cancel_running(load, request_name, actions)) {
            fill_slots(upstream, load, now, random, actions);
            return actions;
        }
    }
    return actions;
}

std::size_t in_flight(const upstream_service& upstream) {
    std::size_t count = 0;
    for (const auto& [service, load] : upstream.services) {
        count += load.running.size() + load.waiting.size();
    }
    return count;
}

double load_of(const upstream_service& upstream) {
    std::size_t taken = 0;
    std::size_t slots = 0;
    for (const auto& [service, load] : upstream.services) {
        taken += load.running.size();
        slots += load.settings.slots;
    }
    return slots == 0 ? 0
                      : static_cast<double>(taken) / static_cast<double>(slots);
}

} // namespace apricotstile::standins
