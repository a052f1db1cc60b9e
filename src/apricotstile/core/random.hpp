// The random generator that decisions are given.

#ifndef APRICOTSTILE_CORE_RANDOM_HPP
#define APRICOTSTILE_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace apricotstile {

using random_source = std::mt19937_64;

/// A number in [0, bound); `bound` must not be zero.
[[nodiscard]] inline std::uint64_t
random_below(random_source& source, std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(source);
}

} // namespace apricotstile

#endif
