// Latencies as scrapers read them.

#include <apricotstile/metrics/histogram.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace std::chrono_literals;

TEST_CASE("a histogram's counts are cumulative", "[metrics]") {
    metrics::histogram latency;
    metrics::record(latency, 5ms);
    metrics::record(latency, 6ms);
    metrics::record(latency, 60s);
    const std::string text =
        metrics::to_text_format(latency, "answer_seconds", "service=\"s\"");
    CHECK(
        text.find("answer_seconds_bucket{service=\"s\",le=\"0.005\"} 1\n") !=
        std::string::npos
    );
    CHECK(
        text.find("answer_seconds_bucket{service=\"s\",le=\"10\"} 2\n") !=
        std::string::npos
    );
    CHECK(
        text.find("answer_seconds_bucket{service=\"s\",le=\"+Inf\"} 3\n") !=
        std::string::npos
    );
    CHECK(
        text.find("answer_seconds_sum{service=\"s\"} 60.011000\n") !=
        std::string::npos
    );
}
