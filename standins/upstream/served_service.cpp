// Reads a service from a flag and writes announcements.

#include <standins/upstream/served_service.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace apricotstile::standins {

served_service parse_service(const std::string& text) {
    const std::size_t colon = text.find(':');
    served_service service;
    service.name.value = text.substr(0, colon);
    bool good = !service.name.value.empty();
    if (colon != std::string::npos) {
        const char* const first = text.data() + colon + 1;
        const char* const last = text.data() + text.size();
        const auto result = std::from_chars(first, last, service.slices);
        good = good && result.ec == std::errc{} && result.ptr == last;
    }
    if (!good) {
        throw std::invalid_argument("not NAME[:SLICES]: '" + text + "'");
    }
    return service;
}

std::string announcement(
    const std::string& address,
    bool leaving,
    const std::vector<served_service>& services
) {
    nlohmann::json listed = nlohmann::json::array();
    for (const served_service& service : services) {
        listed.push_back(
            {{"name", service.name.value},
             {"keyed", service.slices > 0},
             {"slices", service.slices},
             {"slots", service.slots},
             {"connections", service.connections}}
        );
    }
    const nlohmann::json body{
        {"address", address},
        {"state", leaving ? "leaving" : "ready"},
        {"services", listed}};
    return body.dump();
}

} // namespace apricotstile::standins
