// Parsing of announcements.

#include <apricotstile/daemon/internal/local_upstream.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace apricotstile::daemon::internal {

namespace {

constexpr std::uint32_t most_slices = 1U << 20U;

member::served_service read_service(const nlohmann::json& one) {
    member::served_service result;
    result.service.value = one.at("name").get<std::string>();
    result.slots = one.at("slots").get<std::uint32_t>();
    if (one.at("keyed").get<bool>()) {
        result.slice_count = one.at("slices").get<std::uint32_t>();
        if (result.slice_count == 0) {
            result.service.value.clear();
        }
    }
    return result;
}

bool is_valid(const member::served_service& one) {
    return !one.service.value.empty() && one.slots > 0 &&
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
        for (const auto& item : json.at("services")) {
            const member::served_service service = read_service(item);
            if (!is_valid(service)) {
                return std::nullopt;
            }
            least = std::min<std::size_t>(least, service.slots);
            least = std::min(least, item.at("connections").get<std::size_t>());
            result.services.push_back(service);
        }
        result.max_at_once = least;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    if (result.services.empty() || result.max_at_once == 0) {
        return std::nullopt;
    }
    return result;
}

} // namespace apricotstile::daemon::internal
