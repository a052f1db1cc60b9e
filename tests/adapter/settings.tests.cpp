// Guards against a template of the settings that isn't valid with every set of
// values the platform may fill in, and against a link rate that is misread.

#include <platform/settings.hpp>

#include <apricotstile/settings/json_fields.hpp>

#include <catch2/catch.hpp>

#include <QTemporaryDir>

#include <fstream>
#include <map>
#include <string>

using namespace apricotstile;
using namespace apricotstile::adapter;

namespace {

using values = std::map<std::string, std::string>;

/// Fills in the template as the platform does: a section `{{#a}}..{{/a}}` is
/// rendered once if the value is present, `{{^a}}..{{/a}}` if it isn't, and
/// `{{a|json}}` as a JSON string.
std::string render(std::string text, const values& present) {
    for (std::size_t open = 0;
         (open = text.find("{{", open)) != std::string::npos;) {
        const std::size_t close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        if (name.front() == '#' || name.front() == '^') {
            const std::string end = "{{/" + name.substr(1) + "}}";
            const std::size_t last = text.find(end, close);
            REQUIRE(last != std::string::npos);
            const bool rendered =
                present.contains(name.substr(1)) == (name.front() == '#');
            const std::string inner =
                rendered ? text.substr(close + 2, last - close - 2)
                         : std::string{};
            text.replace(open, last + end.size() - open, inner);
            continue;
        }
        const bool quoted = name.ends_with("|json");
        const std::string key = name.substr(0, name.find('|'));
        INFO(key);
        REQUIRE(present.contains(key));
        const std::string& value = present.at(key);
        text.replace(
            open,
            close + 2 - open,
            quoted ? std::string{'"'}.append(value).append("\"") : value
        );
    }
    return text;
}

values usual_values() {
    return {
        {"nodeName", "n-1"},
        {"zone", "z"},
        {"region", "r"},
        {"listenAddresses.outbound", "127.0.0.1:7001"},
        {"ipAddress", "127.0.0.1"},
        {"internalPortRange.0", "7002"},
        {"listenAddresses.ready", "127.0.0.1:7003"},
        {"listenAddresses.controlPlane", "127.0.0.1:7004"},
        {"internalPortRange.1", "7005"},
        {"applicationAddress", "127.0.0.1:7006"},
        {"service", "s"},
        {"heartbeatMs", "1000"},
        {"bounds.drainTimeoutMs", "3000"},
        {"bounds.maxHoldMs", "10000"},
        {"bounds.retryBudgetRatio", "0.1"},
        {"bounds.budgetExtraRetries", "10"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.gracePeriodS", "6"},
        {"platform.address", "127.0.0.1:7007"}};
}

daemon_settings read_with(const values& present) {
    const QTemporaryDir directory;
    const std::string file = directory.filePath("settings.json").toStdString();
    std::ofstream{file} << render(
        settings::read_text(APRICOTSTILE_SETTINGS_TEMPLATE), present
    );
    return read_settings(file);
}

/// The usual settings with these of callers.
daemon_settings read_with_callers(const std::string& callers) {
    const QTemporaryDir directory;
    const std::string file = directory.filePath("settings.json").toStdString();
    std::string text = render(
        settings::read_text(APRICOTSTILE_SETTINGS_TEMPLATE), usual_values()
    );
    text.insert(text.find("\"stop\""), "\"callers\": " + callers + ",\n");
    std::ofstream{file} << text;
    return read_settings(file);
}

} // namespace

TEST_CASE(
    "the template without a link rate leaves the schedule off", "[adapter]"
) {
    const daemon_settings read = read_with(usual_values());
    CHECK(read.router.link_bytes_per_second == 0);
    CHECK(read.router.where.region == region_id{"r"});
}

TEST_CASE("the template passes the link rate on", "[adapter]") {
    values present = usual_values();
    present["limits.linkMbps"] = "10";
    CHECK(read_with(present).router.link_bytes_per_second == 1'250'000);
    present["limits.linkMbps"] = "0.5";
    CHECK(read_with(present).router.link_bytes_per_second == 62'500);
    present["bootstrap"] = "true";
    CHECK(read_with(present).router.is_first_start);
}

TEST_CASE("the template passes the memory limit on", "[adapter]") {
    CHECK(read_with(usual_values()).router.memory_bytes == 0);
    values present = usual_values();
    present["limits.memoryMb"] = "260";
    CHECK(read_with(present).router.memory_bytes == 260'000'000);
    present["limits.memoryMb"] = "null";
    CHECK(read_with(present).router.memory_bytes == 0);
    for (const char* const wrong : {"0", "-1", "\"260\"", "1e9"}) {
        present["limits.memoryMb"] = wrong;
        CHECK_THROWS_AS(read_with(present), settings::settings_error);
    }
}

TEST_CASE("callers' connections are half of the descriptors", "[adapter]") {
    values present = usual_values();
    present["limits.fileDescriptors"] = "200";
    CHECK(read_with(present).router.max_caller_connections == 100);
    present["limits.fileDescriptors"] = "null";
    CHECK(read_with(present).router.max_caller_connections > 100);
    for (const char* const wrong : {"0", "63", "-1", "\"200\"", "1e9"}) {
        present["limits.fileDescriptors"] = wrong;
        CHECK_THROWS_AS(read_with(present), settings::settings_error);
    }
}

TEST_CASE("what callers may take can be set", "[adapter]") {
    const daemon_settings usual = read_with(usual_values());
    CHECK(usual.router.eviction.request_stall == std::chrono::seconds{1});
    CHECK(usual.router.eviction.answer_stall == std::chrono::seconds{5});
    const daemon_settings read = read_with_callers(
        R"({"max_connections": 7, "request_stall_ms": 20, "answer_stall_ms": 30})"
    );
    CHECK(read.router.max_caller_connections == 7);
    CHECK(read.router.eviction.request_stall == std::chrono::milliseconds{20});
    CHECK(read.router.eviction.answer_stall == std::chrono::milliseconds{30});
    for (const char* const wrong :
         {R"({"max_connections": 0})",
          R"({"max_connections": "7"})",
          R"({"request_stall_ms": -1})",
          R"({"answer_stall_ms": 1e9})",
          R"({"most": 7})"}) {
        CHECK_THROWS_AS(read_with_callers(wrong), settings::settings_error);
    }
}

TEST_CASE("a link rate of null counts as absent", "[adapter]") {
    values present = usual_values();
    present["limits.linkMbps"] = "null";
    CHECK(read_with(present).router.link_bytes_per_second == 0);
}

TEST_CASE("a link rate that is no rate is an error", "[adapter]") {
    // A number beyond a double's range guards against a daemon that ends when
    // its settings change.
    for (const char* const wrong :
         {"0", "-1", "\"10\"", "true", "1e9", "1e400"}) {
        values present = usual_values();
        present["limits.linkMbps"] = wrong;
        CHECK_THROWS_AS(read_with(present), settings::settings_error);
    }
}
