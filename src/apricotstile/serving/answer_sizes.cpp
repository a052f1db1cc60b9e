// Exponentially weighted moving averages of bounded number.

#include <apricotstile/serving/answer_sizes.hpp>

namespace apricotstile::serving {

namespace {

/// Weight of one answer in the mean.
constexpr double smoothing = 1.0 / 16;
/// Limits memory; answers of further routes aren't counted.
constexpr std::size_t max_routes = 4096;

} // namespace

void note_answer_size(
    answer_sizes& sizes, std::uint32_t route, std::size_t bytes
) {
    const auto size = static_cast<double>(bytes);
    const auto found = sizes.mean_bytes.find(route);
    if (found != sizes.mean_bytes.end()) {
        found->second += (size - found->second) * smoothing;
    } else if (sizes.mean_bytes.size() < max_routes) {
        sizes.mean_bytes.emplace(route, size);
    }
}

double expected_answer_bytes(const answer_sizes& sizes, std::uint32_t route) {
    const auto found = sizes.mean_bytes.find(route);
    return found == sizes.mean_bytes.end() ? 0 : found->second;
}

} // namespace apricotstile::serving
