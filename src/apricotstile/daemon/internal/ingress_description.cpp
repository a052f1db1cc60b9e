// Snapshots of requests and instances as JSON.

#include <apricotstile/daemon/internal/ingress_description.hpp>

namespace apricotstile::daemon::internal {

namespace {

using request::outcome;
using request::refusal;
using upstream::send_result;

constexpr std::uint16_t first_server_error = 500;
constexpr std::size_t most_attempts_shown = 100;

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

nlohmann::json to_json(const request::ingress_counters& counters) {
    return {
        {"first_sends", counters.first_sends},
        {"retries", counters.retries},
        {"redirects", counters.redirects},
        {"owner_waits", counters.owner_waits},
        {"retries_over_budget", counters.retries_over_budget},
        {"late_or_duplicate", counters.late_or_duplicate},
        {"misdirected", counters.misdirected},
        {"answered", counters.answered},
        {"not_run", counters.not_run},
        {"unknown", counters.unknown}};
}

nlohmann::json to_json(const request::attempt_line& one) {
    nlohmann::json journal = nlohmann::json::array();
    for (const request::journal_entry& entry : one.journal) {
        journal.push_back(
            {{"step", to_string(entry.step)},
             {"host", entry.host.value},
             {"refusal", to_string(entry.refusal)}}
        );
    }
    return {
        {"id", one.id.value},
        {"state", to_string(one.state)},
        {"host", one.host.value},
        {"sends", one.sends},
        {"may_have_run", one.may_have_run},
        {"time_left_ms", milliseconds(one.time_left)},
        {"journal", std::move(journal)}};
}

nlohmann::json to_json(const upstream::instance_line& one) {
    return {
        {"service", one.service.value},
        {"host", one.host.value},
        {"in_flight", one.in_flight},
        {"slots", one.slots},
        {"mean_latency_ms", milliseconds(one.mean_latency)},
        {"success", one.success_rate},
        {"ejected_for_ms", milliseconds(one.ejected_for)},
        {"draining", one.draining}};
}

nlohmann::json to_json(const upstream::link_line& one) {
    return {
        {"region", one.region.value},
        {"bytes", one.bytes},
        {"bytes_available", one.bytes_available},
        {"refusals", one.refusals}};
}

} // namespace

send_result send_result_of(const request::routed_response& response) {
    if (response.outcome == outcome::answered) {
        return response.status < first_server_error ? send_result::answered
                                                    : send_result::failed;
    }
    switch (response.refusal) {
    case refusal::overloaded:
    case refusal::draining:
    case refusal::upstream_refused:
        return send_result::shed;
    case refusal::upstream_lost:
    case refusal::upstream_timed_out:
    case refusal::link_lost:
    case refusal::deadline_passed:
        return send_result::failed;
    default:
        return send_result::abandoned;
    }
}

nlohmann::json describe(
    const request::ingress_snapshot& requests,
    const upstream::load_balancer_snapshot& balancer
) {
    nlohmann::json result;
    result["stopping"] = requests.stopping;
    result["retries_saved"] = requests.retries_saved;
    result["requests"] = to_json(requests.counters);
    result["attempts"] = nlohmann::json::array();
    for (const request::attempt_line& one : requests.attempts) {
        if (result["attempts"].size() == most_attempts_shown) {
            break;
        }
        result["attempts"].push_back(to_json(one));
    }
    result["instances"] = nlohmann::json::array();
    for (const upstream::instance_line& one : balancer.instances) {
        result["instances"].push_back(to_json(one));
    }
    result["region_links"] = nlohmann::json::array();
    for (const upstream::link_line& one : balancer.links) {
        result["region_links"].push_back(to_json(one));
    }
    result["ejections"] = balancer.ejections;
    result["ejections_withheld"] = balancer.ejections_withheld;
    return result;
}

} // namespace apricotstile::daemon::internal
