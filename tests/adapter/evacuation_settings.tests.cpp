// Guards against settings that the template produces and the daemon refuses.

#include <platform/settings.hpp>

#include <apricotstile/settings/json_fields.hpp>
#include <apricotstile/settings/settings_error.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <QTemporaryFile>

#include <map>
#include <regex>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

/// Settings as the platform fills the template in: a section is kept once if
/// its value is present, an inverted one if it isn't, and a value that is
/// missing gives nothing.
std::string
render(std::string text, const std::map<std::string, std::string>& values) {
    static const std::regex section{
        R"(\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{/\2\}\})"};
    static const std::regex variable{R"(\{\{([\w.]+)(\|json)?\}\})"};
    std::smatch found;
    while (std::regex_search(text, found, section)) {
        const bool is_kept = values.contains(found[2]) == (found[1] == "#");
        text = found.prefix().str() + (is_kept ? found[3].str() : "") +
               found.suffix().str();
    }
    while (std::regex_search(text, found, variable)) {
        const auto value = values.find(found[1]);
        const bool is_quoted =
            found[2].matched && value != values.end() &&
            value->second.find_first_not_of("0123456789") != std::string::npos;
        const std::string quote = is_quoted ? "\"" : "";
        text = found.prefix().str() + quote +
               (value == values.end() ? "" : value->second) + quote +
               found.suffix().str();
    }
    return text;
}

daemon_settings read_text_of(const std::string& text) {
    QTemporaryFile file;
    REQUIRE(file.open());
    file.write(text.c_str());
    REQUIRE(file.flush());
    return read_settings(file.fileName().toStdString());
}

/// Reads settings with this text after the fields of the instance.
daemon_settings read_with(const std::string& upstream_fields) {
    const std::string text = fmt::format(
        R"({{
    "host": {{"name": "h", "failure_domain": "z", "region": "r"}},
    "listen": {{
        "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "readiness": "127.0.0.1:3", "heartbeats": "127.0.0.1:4",
        "metrics": "127.0.0.1:5"
    }},
    "upstream": {{"address": "127.0.0.1:6", "service": "s"{}}},
    "retries": {{}},
    "stop": {{}},
    "store": "127.0.0.1:7"
}})",
        upstream_fields
    );
    return read_text_of(text);
}

} // namespace

TEST_CASE(
    "evacuations are off without a timeout or with null", "[adapter][settings]"
) {
    CHECK_FALSE(read_with("").router.evacuation_timeout);
    CHECK_FALSE(read_with(R"(, "evacuation_timeout_ms": null)")
                    .router.evacuation_timeout);
    CHECK(
        read_with(R"(, "evacuation_timeout_ms": 5000)")
            .router.evacuation_timeout == 5s
    );
}

TEST_CASE(
    "an evacuation timeout that is no number is an error", "[adapter][settings]"
) {
    CHECK_THROWS_AS(
        read_with(R"(, "evacuation_timeout_ms": "5000")"),
        settings::settings_error
    );
}

TEST_CASE(
    "the template gives valid settings with and without the bound of "
    "evacuations",
    "[adapter][settings]"
) {
    const std::string text =
        settings::read_text(APRICOTSTILE_SOURCE_DIR "/deploy/settings.json.in");
    std::map<std::string, std::string> values{
        {"nodeName", "h"},
        {"zone", "z"},
        {"region", "r"},
        {"listenAddresses.outbound", "127.0.0.1:1"},
        {"listenAddresses.ready", "127.0.0.1:3"},
        {"listenAddresses.controlPlane", "127.0.0.1:4"},
        {"ipAddress", "127.0.0.1"},
        {"internalPortRange.0", "2"},
        {"internalPortRange.1", "5"},
        {"applicationAddress", "127.0.0.1:6"},
        {"service", "s"},
        {"heartbeatMs", "1000"},
        {"bounds.drainTimeoutMs", "3000"},
        {"bounds.maxHoldMs", "10000"},
        {"bounds.retryBudgetRatio", "0"},
        {"bounds.budgetExtraRetries", "10"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.gracePeriodS", "6"},
        {"platform.address", "127.0.0.1:7"}};
    CHECK_FALSE(read_text_of(render(text, values)).router.evacuation_timeout);
    values["bounds.evacuationMs"] = "5000";
    const daemon_settings filled = read_text_of(render(text, values));
    CHECK(filled.router.evacuation_timeout == 5s);
    CHECK(filled.router.max_grant_duration == 10s);
    CHECK(filled.router.where.failure_domain == failure_domain_id{"z"});
}
