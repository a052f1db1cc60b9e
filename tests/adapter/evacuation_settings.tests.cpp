// Guards against settings that the template produces and the daemon refuses.

#include <platform/settings.hpp>

#include <apricotstile/settings/settings_error.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <QTemporaryFile>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

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
    QTemporaryFile file;
    REQUIRE(file.open());
    file.write(text.c_str());
    REQUIRE(file.flush());
    return read_settings(file.fileName().toStdString());
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
