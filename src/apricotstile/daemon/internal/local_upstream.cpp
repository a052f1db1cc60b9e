// Parsing of announcements.

#include <apricotstile/daemon/internal/local_upstream.hpp>

#include <apricotstile/request/request_snapshot.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace apricotstile::daemon::internal {

namespace {

constexpr std::uint32_t most_slices = 1U << 20U;
constexpr std::uint32_t unkeyed_slices = 256;

member::served_service read_service(const nlohmann::json& one) {
    member::served_service result;
    result.service.value = one.at("name").get<std::string>();
    result.slots = one.at("slots").get<std::uint32_t>();
    result.keyed = one.at("keyed").get<bool>();
    // A service that isn't divided by key has slices all the same: they say
    // who remembers its non-idempotent requests.
    result.slice_count =
        result.keyed ? one.at("slices").get<std::uint32_t>() : unkeyed_slices;
    return result;
}

bool is_valid(const member::served_service& one) {
    return !one.service.value.empty() && one.slots > 0 && one.slice_count > 0 &&
           one.slice_count <= most_slices;
}

} // namespace

std::optional<announcement> parse_announcement(const std::string& body) {
    announcement result;
    try {
        const auto json = nlohmann::json::parse(body);
        const auto where = parse_address(json.at("address").get<std::string>());
        if (!where) {
            return std::nullopt;
        }
        result.address = *where;
        result.leaving = json.at("state").get<std::string>() == "leaving";
        std::size_t least = std::numeric_limits<std::size_t>::max();
        std::size_t connections = least;
        for (const auto& item : json.at("services")) {
            const member::served_service service = read_service(item);
            if (!is_valid(service)) {
                return std::nullopt;
            }
            least = std::min<std::size_t>(least, service.slots);
            connections = std::min(
                connections, item.at("connections").get<std::size_t>()
            );
            result.services.push_back(service);
        }
        result.max_at_once = std::min(least, connections);
        result.max_connections = connections;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    if (result.services.empty() || result.max_at_once == 0) {
        return std::nullopt;
    }
    return result;
}

bool local_upstream::is_keyed(const service_id& service) const {
    return std::any_of(
        this->said.services.begin(),
        this->said.services.end(),
        [&](const member::served_service& one) {
            return one.service == service && one.keyed;
        }
    );
}

nlohmann::json describe(const local_upstream& upstream, instant now) {
    const upstream::admission_snapshot admission =
        upstream::describe(upstream.dispatcher.admission, now);
    const request::memory_snapshot memory =
        request::describe(upstream.dispatcher.memory, now);
    nlohmann::json suspects = nlohmann::json::array();
    for (const upstream::quarantine_entry& one :
         upstream::describe(upstream.dispatcher.quarantine, now)) {
        suspects.push_back(
            {{"service", one.label.service.value},
             {"customer", one.label.customer.value},
             {"key", one.label.key},
             {"crashes", one.crashes},
             {"refused", one.action == upstream::quarantine_action::refuse}}
        );
    }
    return {
        {"leaving", upstream.said.leaving},
        {"max_at_once", upstream.said.max_at_once},
        {"granted_ranges", upstream.granted.size()},
        {"calls", upstream.pool->running()},
        {"idle_connections", upstream.pool->idle()},
        {"timed_out", upstream.pool->timed_out()},
        {"allowed", admission.allowed},
        {"running", admission.running},
        {"queued",
         {{"critical", admission.queued[0]},
          {"normal", admission.queued[1]},
          {"background", admission.queued[2]}}},
        {"memory",
         {{"slices", memory.slices},
          {"slices_in_doubt", memory.slices_in_doubt},
          {"records", memory.records},
          {"replays", memory.replays},
          {"refused_forgotten", memory.refused_forgotten},
          {"refused_full", memory.refused_full}}},
        {"suspects", std::move(suspects)}};
}

} // namespace apricotstile::daemon::internal
