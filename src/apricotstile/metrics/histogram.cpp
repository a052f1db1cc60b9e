// Cumulative counts as text.

#include <apricotstile/metrics/histogram.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::metrics {

namespace {

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void record(histogram& target, duration value) {
    const auto bound = std::lower_bound(
        histogram::bounds.begin(),
        histogram::bounds.end(),
        value,
        [](std::chrono::milliseconds limit, duration seen) {
            return limit < seen;
        }
    );
    ++target.counts.at(
        static_cast<std::size_t>(bound - histogram::bounds.begin())
    );
    target.sum += value;
}

std::string to_text_format(
    const histogram& value, const std::string& name, const std::string& labels
) {
    std::string result = fmt::format("# TYPE {} histogram\n", name);
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < value.counts.size(); ++index) {
        total += value.counts.at(index);
        const std::string limit =
            index < histogram::bounds.size()
                ? fmt::format("{}", seconds(histogram::bounds.at(index)))
                : "+Inf";
        result += fmt::format(
            "{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, limit, total
        );
    }
    result +=
        fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, seconds(value.sum));
    return result + fmt::format("{}_count{{{}}} {}\n", name, labels, total);
}

} // namespace apricotstile::metrics
