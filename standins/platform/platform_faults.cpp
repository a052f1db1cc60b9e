// Reads and shows the faults as JSON.

#include <standins/platform/platform_faults.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace apricotstile::standins {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

duration milliseconds_of(const nlohmann::json& value) {
    return milliseconds{value.get<std::uint32_t>()};
}

} // namespace

platform_faults
changed_by(const platform_faults& before, const std::string& text) {
    platform_faults after = before;
    const nlohmann::json changes = nlohmann::json::parse(text);
    for (const auto& [name, value] : changes.items()) {
        if (name == "down") {
            after.down = value.get<bool>();
        } else if (name == "silent") {
            after.silent = value.get<bool>();
        } else if (name == "lose_answers") {
            after.lose_answers = value.get<bool>();
        } else if (name == "latency_ms") {
            after.latency = milliseconds_of(value);
        } else if (name == "late_effect_ms") {
            after.late_effect = milliseconds_of(value);
        } else {
            throw std::invalid_argument("unknown fault '" + name + "'");
        }
    }
    return after;
}

std::string to_json(const platform_faults& faults) {
    const nlohmann::json shown{
        {"down", faults.down},
        {"silent", faults.silent},
        {"lose_answers", faults.lose_answers},
        {"latency_ms", duration_cast<milliseconds>(faults.latency).count()},
        {"late_effect_ms",
         duration_cast<milliseconds>(faults.late_effect).count()}};
    return shown.dump();
}

} // namespace apricotstile::standins
