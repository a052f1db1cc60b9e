// Flattens a dump to metric lines.

#include <apricotstile/metrics/text_format.hpp>

#include <nlohmann/json.hpp>

#include <cctype>

namespace apricotstile::metrics {

namespace {

std::string metric_name(const std::string& parent, const std::string& key) {
    std::string name = parent + "_";
    for (const char letter : key) {
        const bool plain =
            std::isalnum(static_cast<unsigned char>(letter)) != 0;
        name += plain ? letter : '_';
    }
    return name;
}

void append(
    std::string& out, const std::string& name, const nlohmann::json& value
) {
    if (value.is_object()) {
        for (const auto& item : value.items()) {
            append(out, metric_name(name, item.key()), item.value());
        }
    } else if (value.is_array()) {
        out += name + " " + std::to_string(value.size()) + "\n";
    } else if (value.is_boolean()) {
        out += name + (value.get<bool>() ? " 1\n" : " 0\n");
    } else if (value.is_number()) {
        out += name + " " + value.dump() + "\n";
    }
}

} // namespace

std::string to_text_format(const nlohmann::json& dump) {
    std::string out;
    append(out, "apricotstile", dump);
    return out;
}

} // namespace apricotstile::metrics
