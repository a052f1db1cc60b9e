// Guards against settings that the daemon refuses after the platform has filled
// in the template: bounds that a deployment has, hasn't, or sets to null.

#include <platform/settings.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>

using namespace apricotstile;
using namespace apricotstile::adapter;

namespace {

using json = nlohmann::json;

/// Null if a part of the dotted name is missing.
json value_of(const json& values, const std::string& name) {
    const json::json_pointer path{
        "/" + std::regex_replace(name, std::regex{"\\."}, "/")};
    return values.contains(path) ? values.at(path) : json{};
}

/// Replaces the sections that begin with `{{` and `sign`; each is kept if
/// `is_kept` says so for its name.
template <class IsKept>
std::string render_sections(
    std::string text, const std::string& sign, const IsKept& is_kept
) {
    const std::regex section{
        R"(\{\{)" + sign + R"(([\w.]+)\}\}([^]*?)\{\{/\1\}\})"};
    std::smatch found;
    while (std::regex_search(text, found, section)) {
        const std::string inside =
            is_kept(found[1].str()) ? found[2].str() : "";
        text = found.prefix().str() + inside + found.suffix().str();
    }
    return text;
}

/// A value counts as present unless it is absent, or null where
/// `null_is_absent` says that a platform treats it so.
std::string render(std::string text, const json& values, bool null_is_absent) {
    const auto is_present = [&](const std::string& name) {
        const json::json_pointer path{
            "/" + std::regex_replace(name, std::regex{"\\."}, "/")};
        return values.contains(path) &&
               !(null_is_absent && values.at(path).is_null()) &&
               values.at(path) != json(false);
    };
    text = render_sections(std::move(text), "#", is_present);
    text =
        render_sections(std::move(text), "\\^", [&](const std::string& name) {
            return !is_present(name);
        });
    const std::regex variable{R"(\{\{([\w.]+)(\|json)?\}\})"};
    std::smatch found;
    while (std::regex_search(text, found, variable)) {
        const json value = value_of(values, found[1].str());
        const bool quoted = found[2].matched || !value.is_string();
        text = found.prefix().str() +
               (quoted ? value.dump() : value.get<std::string>()) +
               found.suffix().str();
    }
    return text;
}

std::string template_text() {
    std::ifstream file{APRICOTSTILE_SETTINGS_TEMPLATE};
    REQUIRE(file);
    return {std::istreambuf_iterator<char>{file}, {}};
}

json platform_values() {
    return json::parse(R"({
        "nodeName": "host-1", "zone": "a", "region": "r",
        "ipAddress": "10.0.0.1", "internalPortRange": ["7300", "7301"],
        "listenAddresses": {
            "outbound": "10.0.0.1:80",
            "ready": "10.0.0.1:81",
            "controlPlane": "10.0.0.1:82"
        },
        "applicationAddress": "10.0.0.1:8080", "service": "s",
        "heartbeatMs": 1000, "platform": {"address": "10.0.0.9:90"},
        "bootstrap": false,
        "bounds": {
            "drainTimeoutMs": 3000, "maxHoldMs": 4000,
            "retryBudgetRatio": 0.1, "budgetExtraRetries": 10,
            "budgetWindowS": 10, "gracePeriodS": 6
        }
    })");
}

daemon_settings settings_with(const json& bounds, bool null_is_absent) {
    json values = platform_values();
    values["bounds"].update(bounds);
    const std::string text = render(template_text(), values, null_is_absent);
    INFO(text);
    REQUIRE(json::accept(text, true));
    const auto file = std::filesystem::temp_directory_path() /
                      "apricotstile_settings_template_test.json";
    std::ofstream{file} << text;
    daemon_settings result = read_settings(file);
    std::filesystem::remove(file);
    return result;
}

} // namespace

TEST_CASE("bounds on cold instances are passed on", "[adapter][cold]") {
    const auto bounds =
        settings_with({{"coldOverage", 1.5}, {"coldSlack", 8}}, true)
            .router.cold_bounds;
    REQUIRE(bounds);
    CHECK(bounds->overage == 1.5);
    CHECK(bounds->slack == 8);
}

TEST_CASE(
    "without both bounds cold instances have no limit", "[adapter][cold]"
) {
    for (const bool null_is_absent : {true, false}) {
        CHECK_FALSE(
            settings_with(json::object(), null_is_absent).router.cold_bounds
        );
        CHECK_FALSE(settings_with(
                        {{"coldOverage", nullptr}, {"coldSlack", nullptr}},
                        null_is_absent
        )
                        .router.cold_bounds);
        CHECK_FALSE(settings_with({{"coldOverage", 1.5}}, null_is_absent)
                        .router.cold_bounds);
        CHECK_FALSE(
            settings_with({{"coldSlack", 8}}, null_is_absent).router.cold_bounds
        );
    }
}
