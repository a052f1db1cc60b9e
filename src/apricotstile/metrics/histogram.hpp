// Counts of durations by upper bounds, as scrapers read them.

#ifndef APRICOTSTILE_METRICS_HISTOGRAM_HPP
#define APRICOTSTILE_METRICS_HISTOGRAM_HPP

#include <apricotstile/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace apricotstile::metrics {

struct histogram {
    /// Upper bounds, rising; longer durations count in the last entry alone.
    static constexpr std::array<std::chrono::milliseconds, 11> bounds{
        std::chrono::milliseconds{5},
        std::chrono::milliseconds{10},
        std::chrono::milliseconds{25},
        std::chrono::milliseconds{50},
        std::chrono::milliseconds{100},
        std::chrono::milliseconds{250},
        std::chrono::milliseconds{500},
        std::chrono::milliseconds{1000},
        std::chrono::milliseconds{2500},
        std::chrono::milliseconds{5000},
        std::chrono::milliseconds{10000}};

    std::array<std::uint64_t, bounds.size() + 1> counts{};
    duration sum{0};
};

void record(histogram& target, duration value);

/// The scrapers' lines of `name`, with `labels` such as "service=\"s\"".
/// Counts are cumulative, durations in seconds.
[[nodiscard]] std::string to_text_format(
    const histogram& value, const std::string& name, const std::string& labels
);

} // namespace apricotstile::metrics

#endif
