// Moving averages of the sizes of answers, by route. Where answers are large,
// their bytes decide which instance is the best for a request.

#ifndef APRICOTSTILE_SERVING_ANSWER_SIZES_HPP
#define APRICOTSTILE_SERVING_ANSWER_SIZES_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace apricotstile::serving {

struct answer_sizes {
    /// Mean bytes by hash of the route's name.
    std::unordered_map<std::uint32_t, double> mean_bytes;
};

void note_answer_size(
    answer_sizes& sizes, std::uint32_t route, std::size_t bytes
);

/// Zero while nothing is known of the route.
[[nodiscard]] double
expected_answer_bytes(const answer_sizes& sizes, std::uint32_t route);

} // namespace apricotstile::serving

#endif
