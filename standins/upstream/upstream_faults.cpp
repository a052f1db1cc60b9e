// Reads the faults.

#include <standins/upstream/upstream_faults.hpp>

#include <standins/upstream/health_report.hpp>
#include <standins/upstream/upstream_service.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace apricotstile::standins {

void change_faults(
    const std::string& text, upstream_service& service, health_report& health
) {
    const nlohmann::json changes = nlohmann::json::parse(text);
    for (const auto& [name, value] : changes.items()) {
        if (name == "shed_share") {
            service.shed_share = value.get<double>();
        } else if (name == "health_lies") {
            health.lies = value.get<bool>();
        } else if (name == "mean_ms") {
            service.times.mean =
                std::chrono::milliseconds{value.get<std::uint32_t>()};
        } else {
            throw std::invalid_argument("unknown fault '" + name + "'");
        }
    }
}

} // namespace apricotstile::standins
